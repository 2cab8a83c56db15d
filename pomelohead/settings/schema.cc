#include "pomelohead/settings/node_settings.h"

namespace pomelohead::settings {

std::string_view settings_schema()
{
    return R"json({
  "type": "object",
  "description": "an object",
  "additionalProperties": false,
  "required": ["node", "region", "failure_domain", "listen", "source"],
  "properties": {
    "node": {"type": "string", "minLength": 1, "maxLength": 128,
      "description": "the node's name, a string of 1 to 128 bytes"},
    "region": {"type": "string", "minLength": 1, "maxLength": 128,
      "description": "the region's name, a string of 1 to 128 bytes"},
    "failure_domain": {"type": "string", "minLength": 1, "maxLength": 128,
      "description": "the failure domain's name, a string of 1 to 128 bytes"},
    "listen": {
      "type": "object", "additionalProperties": false, "required": ["address"],
      "description": "an object with address, caller_port, owner_port, control_port, admin_port",
      "properties": {
        "address": {"type": "string", "description": "this host's IP address"},
        "caller_port": {"type": "integer", "minimum": 1, "maximum": 65535,
          "description": "a port from 1 to 65535"},
        "owner_port": {"type": "integer", "minimum": 1, "maximum": 65535,
          "description": "a port from 1 to 65535"},
        "control_port": {"type": "integer", "minimum": 1, "maximum": 65535,
          "description": "a port from 1 to 65535"},
        "admin_port": {"type": "integer", "minimum": 1, "maximum": 65535,
          "description": "a port from 1 to 65535"}
      }
    },
    "source": {
      "type": "object", "additionalProperties": false, "required": ["address", "port"],
      "description": "an object with address and port",
      "properties": {
        "address": {"type": "string",
          "description": "the configuration service's IP address"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535,
          "description": "a port from 1 to 65535"}
      }
    },
    "peers": {"type": "array", "maxItems": 1000,
      "description": "a list of at most 1000 IP addresses of other hosts",
      "items": {"type": "string", "description": "an IP address"}},
    "log": {
      "type": "object", "additionalProperties": false,
      "description": "an object with level",
      "properties": {
        "level": {"type": "string", "enum": ["debug", "info", "warning", "error"],
          "description": "debug, info, warning or error"}
      }
    },
    "testing": {"type": "boolean", "description": "true or false"},
    "policy": {"type": "object",
      "description": "an object of numbers and booleans by name",
      "additionalProperties": {"type": ["number", "boolean"],
        "description": "a number, true or false"}}
  }
})json";
}

} // namespace pomelohead::settings
