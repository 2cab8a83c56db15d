#include "pomelohead/discovery/snapshot_builder.h"

#include "pomelohead/config/validate.h"
#include "pomelohead/telemetry/log.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pomelohead::discovery {

snapshot_builder::snapshot_builder(decode_fn decode,
                                   std::function<void(const config::snapshot_ptr&)> on_snapshot)
    : m_decode(std::move(decode)), m_on_snapshot(std::move(on_snapshot))
{
}

bool snapshot_builder::put(const source::key_change& change)
{
    reason why;
    std::optional<decoded_value> value = m_decode(change, why);
    if (!value && m_evacuations.contains(change.m_key)) {
        // Only the removal of the key withdraws the operator's request.
        reject(change.m_key, std::move(why));
        return false;
    }
    if (!value) {
        // Whatever wrote the value, the key no longer holds a usable target.
        m_changed = m_instances.erase(change.m_key) > 0 || m_changed;
        m_instance_epochs.erase(change.m_key);
        reject(change.m_key, std::move(why));
        return true;
    }
    if (auto* received = std::get_if<config::snapshot>(&*value)) {
        return apply_configuration(std::move(*received), change.m_revision);
    }
    if (auto* item = std::get_if<instance>(&*value)) {
        return apply_instance(change, std::move(*item));
    }
    if (auto* request = std::get_if<evacuation>(&*value)) {
        apply_evacuation(change, std::move(*request));
    }
    return true;
}

bool snapshot_builder::apply_configuration(config::snapshot received,
                                           const source::store_revision& revision)
{
    const std::string subject = "configuration " + std::to_string(received.m_version);
    if (m_configuration && received == *m_configuration) {
        m_configuration_epoch = std::max(m_configuration_epoch, revision.m_epoch);
        return true;
    }
    if (m_configuration && !supersedes(received.m_version, revision.m_epoch)) {
        const bool older = received.m_version < m_configuration->m_version;
        reject(subject, {older ? reason_code::stale : reason_code::conflict,
                         "version " + std::to_string(m_configuration->m_version) + " is in force"});
        return false;
    }
    const std::vector<config::fault> faults =
        config::validate(received, config::target_source::discovery);
    if (!faults.empty()) {
        const config::fault& first = faults.front();
        reject(subject,
               {reason_code::invalid, first.m_subject + ", " + first.m_field + ": " + first.m_text +
                                          " (" + std::to_string(faults.size()) + " faults)"});
        return false;
    }
    log_event(log_level::info, "configuration_accepted",
              {{"version", received.m_version},
               {"was", m_configuration ? m_configuration->m_version : 0},
               {"epoch", revision.m_epoch},
               {"revision", revision.m_number},
               {"routes", received.m_routes.size()}});
    m_configuration = std::move(received);
    m_configuration_epoch = revision.m_epoch;
    m_changed = true;
    return true;
}

// Whether another configuration takes the place of the one in force. A restored store may hold an
// older version until the lost one is written again, so only its version decides, and for equal
// versions the epoch.
bool snapshot_builder::supersedes(config::version_number version, std::uint64_t epoch) const
{
    return std::tie(version, epoch) > std::tie(m_configuration->m_version, m_configuration_epoch);
}

bool snapshot_builder::apply_instance(const source::key_change& change, instance received)
{
    const std::string& key = change.m_key;
    if (m_removed.contains(key, received, change.m_revision.m_epoch)) {
        reject(key, {reason_code::stale, "the target has left since this registration"});
        return false;
    }
    m_removed.erase(key);
    const auto it = m_instances.find(key);
    // Within an epoch values arrive in the order of their revisions, whatever the clocks of their
    // writers say. A restored store may name an earlier registration than the one in force.
    if (it != m_instances.end() && names_target(it->second) &&
        m_instance_epochs.at(key) < change.m_revision.m_epoch) {
        const instance& current_instance = it->second;
        if (std::tie(received.m_started_ms, received.m_sequence) <
            std::tie(current_instance.m_started_ms, current_instance.m_sequence)) {
            reject(key, {reason_code::stale, "a later registration is in force"});
            return false;
        }
    }
    const bool is_new_start =
        it == m_instances.end() || it->second.m_started_ms != received.m_started_ms;
    if (is_new_start || it->second.m_draining != received.m_draining) {
        log_event(log_level::info, received.m_draining ? "target_draining" : "target_registered",
                  {{"target", received.m_id},
                   {"service", received.m_service},
                   {"host", received.m_host},
                   {"failure_domain", received.m_failure_domain},
                   {"slots", received.m_slots},
                   {"cold_left_ms", received.m_warm_up_left.count()},
                   {"epoch", change.m_revision.m_epoch},
                   {"revision", change.m_revision.m_number}});
    }
    m_instances[key] = std::move(received);
    m_instance_epochs[key] = change.m_revision.m_epoch;
    m_changed = true;
    return true;
}

void snapshot_builder::apply_evacuation(const source::key_change& change, evacuation received)
{
    held_evacuation& held = m_evacuations[change.m_key];
    if (held.m_value != received) {
        held = {std::move(received), change.m_revision.m_number, false, false};
        m_changed = true;
    }
}

// Returns whether the key was that of an evacuation.
bool snapshot_builder::remove_evacuation(const std::string& key,
                                         const source::store_revision& revision)
{
    const auto it = m_evacuations.find(key);
    if (it == m_evacuations.end()) {
        return false;
    }
    const std::string& domain = it->second.m_value.m_failure_domain;
    log_event(log_level::info, "evacuation_withdrawn",
              {{"failure_domain", domain},
               {"targets", count_targets(domain)},
               {"epoch", revision.m_epoch},
               {"revision", revision.m_number}});
    m_evacuations.erase(it);
    m_changed = true;
    return true;
}

std::size_t snapshot_builder::count_targets(const std::string& failure_domain) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_instances, [&](const auto& item) {
        return item.second.m_failure_domain == failure_domain && names_target(item.second);
    }));
}

// A node that starts may know an evacuation before any target, so that the domain counts as one
// without targets only once there are others.
void snapshot_builder::report_evacuations()
{
    const bool has_targets = std::ranges::any_of(
        m_current->m_services, [](const config::service& item) { return !item.m_targets.empty(); });
    for (auto& [key, held] : m_evacuations) {
        const std::string& domain = held.m_value.m_failure_domain;
        const std::size_t targets = count_targets(domain);
        if (!std::exchange(held.m_is_reported, true)) {
            log_event(
                log_level::info, "evacuation_requested",
                {{"failure_domain", domain}, {"targets", targets}, {"revision", held.m_revision}});
        }
        if (has_targets && !std::exchange(held.m_is_domain_verified, true) && targets == 0) {
            log_event(log_level::warning, "evacuation_without_targets",
                      {{"failure_domain", domain}, {"revision", held.m_revision}});
        }
    }
}

void snapshot_builder::remove(const std::string& key, const source::store_revision& revision)
{
    if (remove_evacuation(key, revision)) {
        return;
    }
    const auto it = m_instances.find(key);
    if (it == m_instances.end()) {
        return;
    }
    log_event(log_level::info, "target_gone",
              {{"target", it->second.m_id},
               {"service", it->second.m_service},
               {"epoch", revision.m_epoch},
               {"revision", revision.m_number}});
    if (names_target(it->second)) {
        m_removed.add(key, it->second, revision.m_epoch);
    }
    m_instances.erase(it);
    m_instance_epochs.erase(key);
    m_changed = true;
}

void snapshot_builder::reject(const std::string& key, reason why)
{
    log_event(log_level::warning, "value_refused",
              {{"key", key}, {"code", to_string(why.m_code)}, {"why", why.m_text}});
    m_last_refusal = std::move(why);
}

void snapshot_builder::publish()
{
    if (!m_changed || !m_configuration) {
        return;
    }
    m_changed = false;
    m_current = std::make_shared<const config::snapshot>(build_snapshot());
    report_evacuations();
    m_on_snapshot(m_current);
}

// Other writers may register under services of their own. Such a registration names no target, so
// it decides nothing about those that do: not whose address it is, nor which start is the latest.
bool snapshot_builder::names_target(const instance& item) const
{
    return !m_configuration ||
           std::ranges::binary_search(m_configuration->m_services, item.m_service, {},
                                      &config::service::m_name);
}

// Two targets cannot run at one address, but the registration of an ended target may outlive it.
// Of two registrations with unknown start times neither supersedes the other.
std::vector<const instance*> snapshot_builder::select_instances()
{
    std::map<std::pair<std::string_view, std::uint16_t>, std::int64_t> latest_start;
    for (const auto& [key, item] : m_instances) {
        if (names_target(item)) {
            std::int64_t& start = latest_start[{item.m_host, item.m_port}];
            start = std::max(start, item.m_started_ms);
        }
    }
    std::vector<const instance*> selected;
    std::map<std::string, std::string_view> omitted;
    for (const auto& [key, item] : m_instances) {
        const bool is_superseded =
            item.m_started_ms > 0 && item.m_started_ms < latest_start[{item.m_host, item.m_port}];
        if (!names_target(item)) {
            omitted[key] = "the configuration does not name its service";
        }
        else if (is_superseded) {
            omitted[key] = "a later start at its address is registered";
        }
        else {
            selected.push_back(&item);
        }
    }
    log_omissions(std::move(omitted));
    return selected;
}

void snapshot_builder::log_omissions(std::map<std::string, std::string_view> omitted)
{
    for (const auto& [key, why] : omitted) {
        const auto known = m_omitted.find(key);
        if (known == m_omitted.end() || known->second != why) {
            const instance& item = m_instances.at(key);
            log_event(log_level::info, "target_omitted",
                      {{"target", item.m_id},
                       {"service", item.m_service},
                       {"host", item.m_host},
                       {"port", item.m_port},
                       {"why", why}});
        }
    }
    m_omitted = std::move(omitted);
}

std::vector<std::string> snapshot_builder::hosts_of(const std::string& failure_domain) const
{
    std::vector<std::string> hosts;
    for (const auto& [key, item] : m_instances) {
        if (item.m_failure_domain == failure_domain && !item.m_draining && names_target(item) &&
            std::ranges::find(hosts, item.m_host) == hosts.end()) {
            hosts.push_back(item.m_host);
        }
    }
    return hosts;
}

config::snapshot snapshot_builder::build_snapshot()
{
    config::snapshot snapshot = *m_configuration;
    for (const auto& [key, held] : m_evacuations) {
        snapshot.m_evacuated_domains.push_back(held.m_value.m_failure_domain);
    }
    std::ranges::sort(snapshot.m_evacuated_domains);
    for (const instance* registered : select_instances()) {
        const instance& item = *registered;
        const auto service_it = std::ranges::lower_bound(snapshot.m_services, item.m_service, {},
                                                         &config::service::m_name);
        config::target target;
        target.m_name = item.m_id;
        target.m_service = item.m_service;
        target.m_host = item.m_host;
        target.m_port = item.m_port;
        target.m_failure_domain = item.m_failure_domain;
        target.m_slots = item.m_slots;
        target.m_connections = std::max(service_it->m_max_connections, item.m_slots);
        target.m_started_ms = item.m_started_ms;
        if (service_it->m_warm_up_rate > 0) {
            target.m_warm_up_left = item.m_warm_up_left;
        }
        service_it->m_targets.push_back(std::move(target));
        if (item.m_draining) {
            snapshot.m_drains.push_back({item.m_id, "registered as draining"});
        }
        else if (snapshot.is_evacuated(item.m_failure_domain)) {
            snapshot.m_drains.push_back(
                {item.m_id, "evacuation of failure domain " + item.m_failure_domain});
        }
    }
    for (config::service& service : snapshot.m_services) {
        std::ranges::sort(service.m_targets, {}, &config::target::m_name);
    }
    std::ranges::sort(snapshot.m_drains, {}, &config::drain_rule::m_target);
    return snapshot;
}

} // namespace pomelohead::discovery
