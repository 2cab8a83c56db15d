#include "pomelohead/config/validate.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <set>

namespace pomelohead::config {
namespace {

constexpr std::size_t max_name_bytes = 128;
constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_connections = 100'000;
constexpr std::uint32_t max_load_percent = 1'000;
constexpr milliseconds max_deadline = std::chrono::hours(24);

class validator {
public:
    validator(const snapshot& config, target_source targets)
        : m_config(config), m_target_source(targets)
    {
    }

    std::vector<fault> validate_all()
    {
        for (const route& item : m_config.m_routes) {
            check_route(item);
        }
        for (const service& item : m_config.m_services) {
            check_service(item);
        }
        for (const drain_rule& item : m_config.m_drains) {
            check_drain(item);
        }
        for (std::size_t i = 0; i < m_config.m_sheds.size(); ++i) {
            check_shed(i + 1, m_config.m_sheds[i]);
        }
        return std::move(m_faults);
    }

private:
    void add_fault(std::string subject, std::string field, std::string text)
    {
        m_faults.push_back({std::move(subject), std::move(field), std::move(text)});
    }

    void check_name(const std::string& subject, const std::string& field, const std::string& name)
    {
        if (name.empty()) {
            add_fault(subject, field, "is empty");
        }
        else if (name.size() > max_name_bytes) {
            add_fault(subject, field, "is longer than 128 bytes");
        }
        else if (std::ranges::any_of(name, [](unsigned char c) { return c < 0x20 || c == 0x7f; })) {
            add_fault(subject, field, "contains a control character");
        }
    }

    void check_route(const route& item)
    {
        const std::string subject = "route " + item.m_name;
        check_name(subject, "route", item.m_name);
        check_name(subject, "account", item.m_account);
        if (!m_routes.insert(item.m_name).second) {
            add_fault(subject, "route", "is defined twice");
        }
        if (!m_route_matches.insert(item.m_host + ' ' + item.m_method + ' ' + item.m_path_prefix)
                 .second) {
            add_fault(subject, "path",
                      "another route already matches " + item.m_method + " " + item.m_path_prefix);
        }
        if (item.m_method.empty() ||
            (item.m_method != "*" &&
             !std::ranges::all_of(item.m_method, [](char c) { return c >= 'A' && c <= 'Z'; }))) {
            add_fault(subject, "method", "must be an upper-case HTTP method or *");
        }
        if (!item.m_path_prefix.starts_with('/') ||
            item.m_path_prefix.find_first_of("?# \t") != std::string::npos) {
            add_fault(subject, "path", "must begin with / and contain no ?, # or space");
        }
        if (item.m_deadline <= milliseconds::zero() || item.m_deadline > max_deadline) {
            add_fault(subject, "deadline_ms", "must be from 1 to 86400000");
        }
        if (m_config.find_service(item.m_service) == nullptr) {
            add_fault(subject, "service",
                      "names service '" + item.m_service + "', which has no targets");
        }
        check_shares(subject, item);
    }

    void check_shares(const std::string& subject, const route& item)
    {
        std::uint64_t sum = item.m_shares.empty() ? 1 : 0;
        for (const service_share& share : item.m_shares) {
            sum += share.m_weight;
            if (m_config.find_service(share.m_service) == nullptr) {
                add_fault(subject, "shares",
                          "names service '" + share.m_service +
                              "', which is not in this configuration");
            }
        }
        if (sum == 0) {
            add_fault(subject, "shares", "must have a weight above 0");
        }
    }

    void check_service(const service& item)
    {
        check_name("service " + item.m_name, "service", item.m_name);
        if (item.m_targets.empty() && m_target_source == target_source::configuration) {
            add_fault("service " + item.m_name, "service", "has no targets");
        }
        if (item.m_warm_up_time < milliseconds::zero() || item.m_warm_up_time > max_warm_up_time) {
            add_fault("service " + item.m_name, "warm_up_time", "must be from 0 to 3600 seconds");
        }
        if (!(item.m_warm_up_rate >= 0 && item.m_warm_up_rate <= max_warm_up_rate)) { // also NaN
            add_fault("service " + item.m_name, "warm_up_rate",
                      "must be from 0 to 1000000 requests a second");
        }
        for (const target& member : item.m_targets) {
            check_target(item, member);
        }
    }

    void check_target(const service& owner, const target& item)
    {
        const std::string subject = "target " + item.m_name;
        check_name(subject, "target", item.m_name);
        check_name(subject, "failure_domain", item.m_failure_domain);
        if (!m_targets.insert(item.m_name).second) {
            add_fault(subject, "target", "is defined twice");
        }
        if (!m_addresses.insert(item.m_host + ' ' + std::to_string(item.m_port)).second) {
            add_fault(subject, "host", "another target already has this host and port");
        }
        if (item.m_service != owner.m_name) {
            add_fault(subject, "service", "differs from the service that lists the target");
        }
        boost::system::error_code error;
        boost::asio::ip::make_address(item.m_host, error);
        if (error) {
            add_fault(subject, "host", "must be an IP address, not '" + item.m_host + "'");
        }
        if (item.m_port == 0) {
            add_fault(subject, "port", "must be from 1 to 65535");
        }
        if (item.m_slots == 0 || item.m_slots > max_slots) {
            add_fault(subject, "slots", "must be from 1 to 10000");
        }
        if (item.m_connections < item.m_slots || item.m_connections > max_connections) {
            add_fault(subject, "connections", "must be from the number of slots to 100000");
        }
    }

    void check_drain(const drain_rule& item)
    {
        if (m_config.find_target(item.m_target) == nullptr) {
            add_fault("drain " + item.m_target, "target", "names a target that does not exist");
        }
    }

    void check_shed(std::size_t number, const shed_rule& item)
    {
        const std::string subject = "shed " + std::to_string(number);
        if (item.m_load_percent == 0 || item.m_load_percent > max_load_percent) {
            add_fault(subject, "load_percent", "must be from 1 to 1000");
        }
        if (item.m_account != "*" &&
            std::ranges::find(m_config.m_routes, item.m_account, &route::m_account) ==
                m_config.m_routes.end()) {
            add_fault(subject, "account", "names an account that has no route");
        }
    }

    const snapshot& m_config;
    target_source m_target_source;
    std::vector<fault> m_faults;
    std::set<std::string> m_routes;
    std::set<std::string> m_route_matches;
    std::set<std::string> m_targets;
    std::set<std::string> m_addresses;
};

} // namespace

std::vector<fault> validate(const snapshot& config, target_source targets)
{
    return validator(config, targets).validate_all();
}

} // namespace pomelohead::config
