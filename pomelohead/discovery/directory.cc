#include "pomelohead/discovery/directory.h"

#include "pomelohead/config/validate.h"
#include "pomelohead/telemetry/log.h"

#include <algorithm>

namespace pomelohead::discovery {

directory::directory(decode_fn decode, std::function<void(const config::snapshot_ptr&)> on_snapshot)
    : m_decode(std::move(decode)), m_on_snapshot(std::move(on_snapshot))
{
}

void directory::put(const source::key_change& change)
{
    reason why;
    std::optional<decoded> value = m_decode(change, why);
    if (!value) {
        // Whoever wrote it, the key names no usable target any more.
        m_changed = m_instances.erase(change.m_key) > 0 || m_changed;
        refuse(change.m_key, std::move(why));
        return;
    }
    if (auto* offered = std::get_if<config::snapshot>(&*value)) {
        take_configuration(std::move(*offered), change.m_revision);
    }
    else if (auto* item = std::get_if<instance>(&*value)) {
        take_instance(change.m_key, std::move(*item));
    }
}

void directory::take_configuration(config::snapshot offered, std::uint64_t revision)
{
    const std::string subject = "configuration " + std::to_string(offered.m_version);
    if (m_configuration && offered.m_version <= m_configuration->m_version) {
        if (offered != *m_configuration) {
            const bool older = offered.m_version < m_configuration->m_version;
            refuse(subject,
                   {older ? reason_code::stale : reason_code::conflict,
                    "version " + std::to_string(m_configuration->m_version) + " is in force"});
        }
        return;
    }
    const std::vector<config::fault> faults =
        config::validate(offered, config::target_source::discovery);
    if (!faults.empty()) {
        const config::fault& first = faults.front();
        refuse(subject,
               {reason_code::invalid, first.m_subject + ", " + first.m_field + ": " + first.m_text +
                                          " (" + std::to_string(faults.size()) + " faults)"});
        return;
    }
    log_event(log_level::info, "configuration_accepted",
              {{"version", offered.m_version},
               {"was", m_configuration ? m_configuration->m_version : 0},
               {"revision", revision},
               {"routes", offered.m_routes.size()}});
    m_configuration = std::move(offered);
    m_changed = true;
}

void directory::take_instance(const std::string& key, instance offered)
{
    const auto it = m_instances.find(key);
    if (it != m_instances.end()) {
        const instance& held = it->second;
        if (offered.m_started_ms < held.m_started_ms ||
            (offered.m_started_ms == held.m_started_ms && offered.m_sequence < held.m_sequence)) {
            refuse(key, {reason_code::stale, "a later registration is held"});
            return;
        }
    }
    const bool is_new = it == m_instances.end() || it->second.m_started_ms != offered.m_started_ms;
    if (is_new || it->second.m_draining != offered.m_draining) {
        log_event(log_level::info, offered.m_draining ? "target_draining" : "target_registered",
                  {{"target", offered.m_id},
                   {"service", offered.m_service},
                   {"host", offered.m_host},
                   {"failure_domain", offered.m_failure_domain},
                   {"slots", offered.m_slots},
                   {"cold_left_ms", offered.m_cold_left.count()}});
    }
    m_instances[key] = std::move(offered);
    m_changed = true;
}

void directory::remove(const std::string& key)
{
    const auto it = m_instances.find(key);
    if (it == m_instances.end()) {
        return;
    }
    log_event(log_level::info, "target_gone",
              {{"target", it->second.m_id}, {"service", it->second.m_service}});
    m_instances.erase(it);
    m_changed = true;
}

void directory::refuse(const std::string& key, reason why)
{
    log_event(log_level::warning, "value_refused",
              {{"key", key}, {"code", to_string(why.m_code)}, {"why", why.m_text}});
    m_last_refusal = std::move(why);
}

void directory::settle()
{
    if (!m_changed || !m_configuration) {
        return;
    }
    m_changed = false;
    m_current = std::make_shared<const config::snapshot>(join());
    m_on_snapshot(m_current);
}

// Two targets cannot stand at one address: the registration of one that has ended may
// outlive it. Of two whose starts are not known, neither is preferred.
bool directory::is_displaced(const instance& item) const
{
    return std::ranges::any_of(m_instances, [&item](const auto& entry) {
        const instance& other = entry.second;
        return other.m_host == item.m_host && other.m_port == item.m_port &&
               other.m_started_ms > item.m_started_ms && item.m_started_ms > 0;
    });
}

std::vector<std::string> directory::hosts_of(const std::string& failure_domain) const
{
    std::vector<std::string> hosts;
    for (const auto& [key, item] : m_instances) {
        if (item.m_failure_domain == failure_domain && !item.m_draining &&
            std::ranges::find(hosts, item.m_host) == hosts.end()) {
            hosts.push_back(item.m_host);
        }
    }
    return hosts;
}

config::snapshot directory::join() const
{
    config::snapshot joined = *m_configuration;
    for (const auto& [key, item] : m_instances) {
        if (is_displaced(item)) {
            continue;
        }
        const auto owner = std::ranges::lower_bound(joined.m_services, item.m_service, {},
                                                    &config::service::m_name);
        if (owner == joined.m_services.end() || owner->m_name != item.m_service) {
            continue;
        }
        config::target target;
        target.m_name = item.m_id;
        target.m_service = item.m_service;
        target.m_host = item.m_host;
        target.m_port = item.m_port;
        target.m_failure_domain = item.m_failure_domain;
        target.m_slots = item.m_slots;
        target.m_connections = std::max(owner->m_max_connections, item.m_slots);
        target.m_started_ms = item.m_started_ms;
        owner->m_targets.push_back(std::move(target));
        if (item.m_draining) {
            joined.m_drains.push_back({item.m_id, "registered as draining"});
        }
    }
    for (config::service& service : joined.m_services) {
        std::ranges::sort(service.m_targets, {}, &config::target::m_name);
    }
    std::ranges::sort(joined.m_drains, {}, &config::drain_rule::m_target);
    return joined;
}

} // namespace pomelohead::discovery
