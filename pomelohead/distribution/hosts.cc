#include "pomelohead/distribution/hosts.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

namespace pomelohead::distribution {
namespace {

using json = nlohmann::json;

std::string string_field(const json& item, const char* field)
{
    const auto it = item.find(field);
    return it != item.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::nullopt_t fail(reason& why, std::string text)
{
    why = {reason_code::malformed, "host list: " + std::move(text)};
    return std::nullopt;
}

} // namespace

std::optional<std::vector<listed_host>> parse_hosts(std::string_view bytes, reason& why)
{
    const json list = json::parse(bytes, nullptr, false);
    if (!list.is_array()) {
        return fail(why, "is not a JSON list, or is truncated");
    }
    if (list.size() > max_listed_hosts) {
        return fail(why, "has more than " + std::to_string(max_listed_hosts) + " hosts");
    }
    std::vector<listed_host> hosts;
    for (const json& item : list) {
        if (!item.is_object()) {
            return fail(why, "has an entry that is not an object");
        }
        const std::string state = string_field(item, "state");
        listed_host host{string_field(item, "host"), string_field(item, "address"),
                         string_field(item, "failure_domain"), string_field(item, "region"),
                         state == "leaving"};
        boost::system::error_code error;
        boost::asio::ip::make_address(host.m_address, error);
        if (error) {
            return fail(why, "address '" + host.m_address + "' is not an IP address");
        }
        if (state != "live" && state != "leaving") {
            return fail(why, "state must be live or leaving, not '" + state + "'");
        }
        hosts.push_back(std::move(host));
    }
    return hosts;
}

} // namespace pomelohead::distribution
