// The schema is checked by valijson. Its errors name paths and constraints; the
// schema's own descriptions say what is allowed, so a fault takes its text from
// the schema at the same path.
#include "pomelohead/settings/node_settings.h"

#include "pomelohead/settings/policy_knobs.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <set>

namespace pomelohead::settings {
namespace {

using nlohmann::json;

const json& schema_json()
{
    static const json value = json::parse(settings_schema());
    return value;
}

// Turns valijson's context ("<root>", "[listen]", "[address]") into path segments.
std::vector<std::string> path_segments(const std::vector<std::string>& context)
{
    std::vector<std::string> segments;
    for (const std::string& part : context) {
        if (part.starts_with('[') && part.ends_with(']')) {
            segments.push_back(part.substr(1, part.size() - 2));
        }
    }
    return segments;
}

std::string pointer_text(const std::vector<std::string>& segments)
{
    std::string out;
    for (const std::string& segment : segments) {
        out += '/' + segment;
    }
    return out;
}

// The schema's description for a path, or of the nearest level above that has one.
std::string description_at(const std::vector<std::string>& segments)
{
    const json* level = &schema_json();
    for (const std::string& segment : segments) {
        const json* next = nullptr;
        if (level->contains("properties") && (*level)["properties"].contains(segment)) {
            next = &(*level)["properties"][segment];
        }
        else if (level->contains("items")) {
            next = &(*level)["items"];
        }
        else if (level->contains("additionalProperties") &&
                 (*level)["additionalProperties"].is_object()) {
            next = &(*level)["additionalProperties"];
        }
        if (next == nullptr) {
            break;
        }
        level = next;
    }
    return level->value("description", "");
}

std::string value_at(const json& file, const std::vector<std::string>& segments)
{
    const json* level = &file;
    for (const std::string& segment : segments) {
        if (level->is_object() && level->contains(segment)) {
            level = &(*level)[segment];
        }
        else if (level->is_array() && std::ranges::all_of(segment, ::isdigit) &&
                 std::stoul(segment) < level->size()) {
            level = &(*level)[std::stoul(segment)];
        }
        else {
            return {};
        }
    }
    return level->dump();
}

// valijson reports a fault again at each level above it; only the deepest says which.
bool is_summary(const std::string& description)
{
    return description.starts_with("Failed to validate against schema associated with") ||
           description.starts_with("Failed to validate item") ||
           description.starts_with("Failed to validate against additional properties schema");
}

void check_schema(const json& file, std::vector<setting_fault>& faults)
{
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json()), schema);
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter adapter(file);
    if (validator.validate(schema, adapter, &results)) {
        return;
    }
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        if (is_summary(error.description)) {
            continue;
        }
        const std::vector<std::string> segments = path_segments(error.context);
        const bool about_value = error.description.find("property") == std::string::npos &&
                                 error.description.find("properties") == std::string::npos;
        faults.push_back({pointer_text(segments), about_value ? value_at(file, segments) : "",
                          about_value ? "must be " + description_at(segments) : error.description});
    }
}

class semantic_checker {
public:
    semantic_checker(const node_settings& settings, std::vector<setting_fault>& faults)
        : m_settings(settings), m_faults(faults)
    {
    }

    void run_policy()
    {
        for (const auto& [name, value] : m_settings.m_policy) {
            check_policy(name, value);
        }
    }

    void run()
    {
        check_address("/listen/address", m_settings.m_listen.m_address);
        check_address("/source/address", m_settings.m_source.m_address);
        check_ports();
        check_peers();
        run_policy();
    }

private:
    void add(std::string path, const json& value, std::string allowed)
    {
        m_faults.push_back({std::move(path), value.dump(), std::move(allowed)});
    }

    void check_address(const std::string& path, const std::string& address)
    {
        boost::system::error_code error;
        boost::asio::ip::make_address(address, error);
        if (error) {
            add(path, address, "must be an IP address");
        }
    }

    void check_ports()
    {
        const listen_settings& listen = m_settings.m_listen;
        std::map<std::uint16_t, std::string> seen;
        for (const auto& [port, name] : {std::pair{listen.m_caller_port, "caller_port"},
                                         std::pair{listen.m_owner_port, "owner_port"},
                                         std::pair{listen.m_control_port, "control_port"},
                                         std::pair{listen.m_admin_port, "admin_port"}}) {
            const auto [it, inserted] = seen.emplace(port, name);
            if (!inserted) {
                add("/listen/" + std::string(name), port, "must differ from /listen/" + it->second);
            }
        }
    }

    void check_peers()
    {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < m_settings.m_peers.size(); ++i) {
            const std::string& peer = m_settings.m_peers[i];
            const std::string path = "/peers/" + std::to_string(i);
            check_address(path, peer);
            if (!seen.insert(peer).second) {
                add(path, peer, "is listed twice");
            }
            if (peer == m_settings.m_listen.m_address) {
                add(path, peer, "is this host's own address");
            }
        }
    }

    void check_policy(const std::string& name, double value)
    {
        const policy_knob* knob = find_policy_knob(name);
        if (knob == nullptr) {
            add("/policy/" + name, value, "is not a known setting");
        }
        else if (value < knob->m_least || value > knob->m_most) {
            add("/policy/" + name, value,
                "must be from " + json(knob->m_least).dump() + " to " + json(knob->m_most).dump());
        }
    }

    const node_settings& m_settings;
    std::vector<setting_fault>& m_faults;
};

void read_policy(const json& policy, node_settings& s)
{
    for (const auto& [name, value] : policy.items()) {
        s.m_policy[name] =
            value.is_boolean() ? (value.get<bool>() ? 1.0 : 0.0) : value.get<double>();
    }
}

node_settings read(const json& file)
{
    node_settings s;
    s.m_node = file["node"];
    s.m_region = file["region"];
    s.m_failure_domain = file["failure_domain"];
    const json& listen = file["listen"];
    s.m_listen.m_address = listen["address"];
    s.m_listen.m_caller_port = listen.value("caller_port", s.m_listen.m_caller_port);
    s.m_listen.m_owner_port = listen.value("owner_port", s.m_listen.m_owner_port);
    s.m_listen.m_control_port = listen.value("control_port", s.m_listen.m_control_port);
    s.m_listen.m_admin_port = listen.value("admin_port", s.m_listen.m_admin_port);
    s.m_source.m_address = file["source"]["address"];
    s.m_source.m_port = file["source"]["port"];
    s.m_peers = file.value("peers", s.m_peers);
    s.m_log_level = file.value("log", json::object()).value("level", s.m_log_level);
    s.m_testing = file.value("testing", false);
    read_policy(file.value("policy", json::object()), s);
    return s;
}

constexpr const char* by_term_field = "by_term";

// Checks an object of policy settings, and puts it over those of `settings` if it applies.
void apply_policy(const std::string& path, const json& policy, bool applies,
                  node_settings& settings, std::vector<setting_fault>& faults)
{
    const bool is_good = policy.is_object() && std::ranges::all_of(policy, [](const json& value) {
                             return value.is_boolean() || value.is_number();
                         });
    if (!is_good) {
        faults.push_back({path, "", "must be an object of numbers and booleans"});
        return;
    }
    node_settings alone; // so that each fault is reported once
    read_policy(policy, alone);
    semantic_checker(alone, faults).run_policy();
    if (applies) {
        read_policy(policy, settings);
    }
}

} // namespace

std::string to_string(const setting_fault& fault)
{
    std::string out = fault.m_path.empty() ? "/" : fault.m_path;
    if (!fault.m_value.empty()) {
        out += " = " + fault.m_value;
    }
    return out + ": " + fault.m_allowed;
}

void parse_policy(std::string_view text, node_settings& settings,
                  std::vector<setting_fault>& faults)
{
    json policy = json::parse(text, nullptr, false);
    const json by_term = policy.is_object() && policy.contains(by_term_field)
                             ? policy[by_term_field]
                             : json::object();
    if (policy.is_object()) {
        policy.erase(by_term_field);
    }
    apply_policy("/policy", policy, true, settings, faults);
    if (!by_term.is_object()) {
        faults.push_back({std::string("/policy/") + by_term_field, by_term.dump(),
                          "must be an object of policy settings by term"});
        return;
    }
    for (const auto& [term, additions] : by_term.items()) {
        const bool is_agreed = std::ranges::find(settings.m_terms, term) != settings.m_terms.end();
        apply_policy("/policy/" + std::string(by_term_field) + "/" + term, additions, is_agreed,
                     settings, faults);
    }
}

std::optional<node_settings> parse_settings(std::string_view text,
                                            std::vector<setting_fault>& faults)
{
    const json file = json::parse(text, nullptr, false);
    if (file.is_discarded()) {
        faults.push_back({"", "", "is not JSON"});
        return std::nullopt;
    }
    check_schema(file, faults);
    if (!faults.empty()) {
        return std::nullopt;
    }
    node_settings settings = read(file);
    semantic_checker(settings, faults).run();
    if (!faults.empty()) {
        return std::nullopt;
    }
    return settings;
}

} // namespace pomelohead::settings
