#include "pomelohead/cli/node_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pomelohead::cli {
namespace {

using json = nlohmann::json;

std::string text_of(const json& value, const char* field)
{
    const auto it = value.find(field);
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::optional<double> number_of(const json& value, const char* field)
{
    const auto it = value.find(field);
    if (it == value.end() || !it->is_number()) {
        return std::nullopt;
    }
    return it->get<double>();
}

config::version_number version_of(const json& value)
{
    const auto it = value.find("version");
    return it != value.end() && it->is_number_unsigned() ? it->get<config::version_number>() : 0;
}

json object_of(const json& value, const char* field)
{
    const auto it = value.find(field);
    return it != value.end() && it->is_object() ? *it : json::object();
}

std::vector<peer_status> members_of(const json& value)
{
    std::vector<peer_status> members;
    const auto it = value.find("members");
    if (it == value.end() || !it->is_array()) {
        return members;
    }
    for (const json& member : *it) {
        if (member.is_object()) {
            members.push_back({.m_node = text_of(member, "node"),
                               .m_address = text_of(member, "address"),
                               .m_state = text_of(member, "state")});
        }
    }
    return members;
}

std::vector<std::string> warming_up_of(const json& value)
{
    std::vector<std::string> targets;
    for (const auto& [name, slots] : object_of(value, "slots").items()) {
        if (object_of(slots, "warm_up").value("warming_up", json(false)) == json(true)) {
            targets.push_back(name);
        }
    }
    return targets;
}

// The strings of an array; empty where nodes of other releases have none.
std::vector<std::string> texts_of(const json& value, const char* field)
{
    std::vector<std::string> texts;
    const auto it = value.find(field);
    if (it != value.end() && it->is_array()) {
        for (const json& item : *it) {
            texts.push_back(item.is_string() ? item.get<std::string>() : item.dump());
        }
    }
    return texts;
}

} // namespace

std::optional<node_status> parse_node_status(std::string_view text, reason& why)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        why = {reason_code::malformed, "the status page is not a JSON object"};
        return std::nullopt;
    }
    if (text_of(value, "node").empty() || !value.contains("version") ||
        !value["version"].is_number_unsigned()) {
        why = {reason_code::malformed, "the status page lacks node or version"};
        return std::nullopt;
    }
    const json source = object_of(value, "source");
    node_status status{.m_node = text_of(value, "node"),
                       .m_failure_domain = text_of(value, "failure_domain"),
                       .m_version = version_of(value),
                       .m_manifest_hash = text_of(value, "manifest_hash"),
                       .m_config_age_s = number_of(value, "config_age_s"),
                       .m_in_force_s = number_of(value, "in_force_s"),
                       .m_source_state = text_of(source, "state"),
                       .m_last_contact_s = number_of(source, "last_contact_s"),
                       .m_last_refusal = std::nullopt,
                       .m_members = members_of(value),
                       .m_draining = value.value("draining", json(false)) == json(true),
                       .m_evacuated_domains = texts_of(value, "evacuated_domains"),
                       .m_uptime_s = number_of(value, "uptime_s").value_or(0),
                       .m_warming_up = warming_up_of(value)};
    const json refusal = object_of(value, "last_refusal");
    if (!refusal.empty()) {
        status.m_last_refusal = {.m_version = version_of(refusal),
                                 .m_code = text_of(refusal, "code"),
                                 .m_text = text_of(refusal, "text")};
    }
    return status;
}

std::vector<node_report> ask_status(const fetch_function& fetch,
                                    const std::vector<node_address>& nodes,
                                    std::chrono::milliseconds limit)
{
    std::vector<node_report> reports;
    for (admin_answer& answer : fetch(nodes, "/status", limit)) {
        node_report report{
            .m_address = answer.m_node, .m_status = std::nullopt, .m_why = std::move(answer.m_why)};
        if (answer.m_body) {
            report.m_status = parse_node_status(*answer.m_body, report.m_why);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<node_address> with_members(const std::vector<node_report>& reports)
{
    std::vector<node_address> nodes;
    const auto add = [&](const node_address& node) {
        if (std::ranges::find(nodes, node) == nodes.end()) {
            nodes.push_back(node);
        }
    };
    for (const node_report& report : reports) {
        add(report.m_address);
    }
    for (const node_report& report : reports) {
        if (!report.m_status) {
            continue;
        }
        for (const peer_status& member : report.m_status->m_members) {
            if (!member.m_address.empty() && member.m_state != "dead" &&
                member.m_state != "leaving") {
                add({.m_address = member.m_address, .m_port = report.m_address.m_port});
            }
        }
    }
    return nodes;
}

} // namespace pomelohead::cli
