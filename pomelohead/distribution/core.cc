#include "pomelohead/distribution/core.h"

#include "pomelohead/distribution/hosts.h"

#include <algorithm>

namespace pomelohead::distribution {
namespace {

// Seeds, and then members, that a starting node contacts.
constexpr std::size_t max_first_contacts = 3;

// Member lists requested in one round while the view converges. Each round can double the
// number of known members, so the number of rounds is logarithmic in the size of the fleet;
// each further request per round would cost another member list.
constexpr std::size_t members_asked_per_round = 1;

// Replies in a row without a new member after which the view counts as converged.
constexpr unsigned replies_until_converged = 2;

membership::member self_of(const core_options& options)
{
    return {.m_node = options.m_self.m_node,
            .m_address = options.m_self.m_address,
            .m_failure_domain = options.m_self.m_failure_domain,
            .m_region = options.m_self.m_region,
            .m_incarnation = membership::first_incarnation(options.m_epoch)};
}

} // namespace

core::core(core_options options, timer_service& timers, core_hooks hooks, std::uint64_t seed)
    : m_options(std::move(options)), m_timers(timers), m_hooks(std::move(hooks)), m_random(seed),
      m_versions(
          m_options.m_replicator,
          {.m_send = m_hooks.m_send,
           .m_fetch_section = [this](const std::string& hash) { m_reader.fetch_section(hash); },
           .m_in_force = [this](const config::snapshot_ptr& config) { on_in_force(config); },
           .m_log = m_hooks.m_log},
          seed + 1),
      m_reader(m_options.m_reader, timers,
               {.m_read = m_hooks.m_read,
                .m_on_manifest =
                    [this](const std::string& bytes) {
                        m_versions.on_source_manifest(bytes, now());
                        on_source_confirmed();
                    },
                .m_on_hosts = [this](std::uint64_t index,
                                     const std::string& bytes) { on_hosts(index, bytes); },
                .m_on_section =
                    [this](const std::string& hash, std::string bytes) {
                        m_versions.on_source_section(hash, std::move(bytes), now());
                    },
                .m_on_section_failed =
                    [this](const std::string& hash, const reason& why) {
                        m_versions.on_source_section_failed(hash, why, now());
                    },
                .m_on_unchanged = [this] { on_source_confirmed(); }},
               seed + 2),
      m_gossip(m_options.m_gossip, self_of(m_options),
               {.m_send = m_hooks.m_send,
                .m_summary = [this] { return own_summary(); },
                .m_log = m_hooks.m_log},
               seed + 3)
{
}

void core::start()
{
    m_is_running = true;
    m_last_tick = now();
    m_last_peer_contact = now();
    m_next_direct_read = now() + random_up_to(m_options.m_direct_read_period);
    m_tick_timer = m_timers.every(m_options.m_tick_period, [this] { tick(); });
    refresh_candidate_addresses();
    m_gossip.start(now());
    if (!m_options.m_gossip_enabled) {
        finish_join();
        return;
    }
    std::vector<std::string> seeds = m_options.m_seeds;
    std::erase(seeds, m_options.m_self.m_address);
    std::ranges::shuffle(seeds, m_random);
    if (seeds.size() > max_first_contacts) {
        seeds.resize(max_first_contacts);
    }
    m_pending_join_replies.insert(seeds.begin(), seeds.end());
    m_join_deadline = now() + m_options.m_join_timeout;
    if (m_pending_join_replies.empty()) {
        finish_join();
    }
    for (const std::string& address : seeds) {
        m_hooks.m_send(address, join_request{});
    }
}

void core::stop()
{
    m_is_running = false;
    m_tick_timer.cancel();
    m_reader.stop();
}

duration core::random_up_to(milliseconds limit)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(0, limit.count())(m_random));
}

void core::complete_join_request(const std::string& address)
{
    if (m_is_joined || m_pending_join_replies.erase(address) == 0) {
        return;
    }
    if (!m_has_contacted_members) {
        // Members other than the seeds may know of newer versions.
        m_has_contacted_members = true;
        for (const std::string& member : m_gossip.table().sample(max_first_contacts, m_random)) {
            if (member != address) {
                m_pending_join_replies.insert(member);
                m_gossip.send_notice(member, true);
            }
        }
    }
    if (m_pending_join_replies.empty()) {
        finish_join();
    }
}

void core::finish_join()
{
    m_is_joined = true;
    if (!m_options.m_seeds.empty() && m_options.m_gossip_enabled) {
        m_view_convergence = view_convergence{.m_next_round = now(),
                                              .m_deadline = now() + m_options.m_convergence_timeout,
                                              .m_last_change = now(),
                                              .m_member_count = 0,
                                              .m_replies_without_change = 0};
    }
    else {
        m_watch_allowed_at = now();
    }
    m_versions.allow_first_version(true, now());
    update_watcher_role();
}

void core::record_view_size(bool is_reply)
{
    if (!m_view_convergence) {
        return;
    }
    const std::size_t member_count = m_gossip.table().non_dead_members().size();
    if (member_count != m_view_convergence->m_member_count) {
        m_view_convergence->m_member_count = member_count;
        m_view_convergence->m_last_change = now();
        m_view_convergence->m_replies_without_change = 0;
    }
    else if (is_reply) {
        m_view_convergence->m_replies_without_change += 1;
    }
}

void core::advance_view_convergence()
{
    if (!m_view_convergence || now() < m_view_convergence->m_next_round) {
        return;
    }
    record_view_size(false);
    const bool is_converged =
        m_view_convergence->m_replies_without_change >= replies_until_converged &&
        now() - m_view_convergence->m_last_change >= m_options.m_convergence_quiet_period;
    if (is_converged || now() >= m_view_convergence->m_deadline) {
        m_view_convergence.reset();
        m_watch_allowed_at = now() + random_up_to(m_options.m_max_watch_delay);
        return;
    }
    m_view_convergence->m_next_round = now() + m_options.m_convergence_round;
    for (const std::string& address : m_gossip.table().sample(members_asked_per_round, m_random)) {
        m_hooks.m_send(address, join_request{});
    }
}

void core::tick()
{
    check_freeze();
    if (!m_is_joined && now() >= m_join_deadline) {
        finish_join();
    }
    m_versions.tick(now());
    if (!m_options.m_gossip_enabled) {
        return;
    }
    advance_view_convergence();
    m_gossip.tick(now());
    update_watcher_role();
    read_source_if_stale();
}

void core::check_freeze()
{
    const duration tick_gap = now() - m_last_tick;
    m_last_tick = now();
    if (tick_gap >= m_options.m_freeze_threshold) {
        m_last_freeze = tick_gap;
        m_last_peer_contact = now();
        m_confirm_deadline = now() + m_options.m_confirm_timeout;
        m_hooks.m_log(log_level::warning, "process_was_frozen",
                      std::to_string(std::chrono::duration_cast<milliseconds>(tick_gap).count()) +
                          " ms without a tick");
        m_versions.drop_pending_requests(now());
        m_reader.restart();
        m_gossip.require_confirmation(now());
        if (m_hooks.m_resumed) {
            m_hooks.m_resumed(tick_gap);
        }
    }
    else if (m_gossip.is_unconfirmed() && now() >= m_confirm_deadline) {
        m_hooks.m_log(log_level::warning, "unconfirmed",
                      "no peer acked a ping since the freeze; resuming with the unconfirmed view");
        m_gossip.confirm();
    }
}

void core::update_watcher_role()
{
    if (!m_is_joined || !m_watch_allowed_at || now() < *m_watch_allowed_at) {
        return;
    }
    const membership::member_table& table = m_gossip.table();
    m_reader.set_watching(
        !m_options.m_gossip_enabled ||
        (!m_gossip.is_superseded() &&
         membership::is_watcher(table.self(), table.non_dead_members(), m_options.m_watchers)));
}

void core::read_source_if_stale()
{
    if (!m_is_joined || now() < m_next_direct_read || m_reader.status().m_watching) {
        return;
    }
    const bool are_peers_silent = now() - m_last_peer_contact > m_options.m_peer_silence_limit;
    const bool is_confirmation_stale =
        !m_source_confirmed_at || now() - *m_source_confirmed_at > m_options.m_confirmation_max_age;
    if (are_peers_silent || is_confirmation_stale) {
        m_reader.read_manifest();
        m_next_direct_read = now() + m_options.m_direct_read_period +
                             random_up_to(2 * m_options.m_direct_read_period);
    }
}

void core::on_in_force(const config::snapshot_ptr& config)
{
    m_source_confirmed_at.reset();
    if (m_newest_peer_version == m_versions.gate().version_in_force()) {
        m_source_confirmed_at = m_newest_peer_version_confirmed_at;
    }
    on_source_confirmed();
    m_gossip.table().set_own_version(config->m_version);
    refresh_candidate_addresses();
    if (m_options.m_gossip_enabled) {
        m_gossip.push_state();
    }
    m_hooks.m_applied(config);
}

void core::on_source_confirmed()
{
    if (m_versions.source_version() == m_versions.gate().version_in_force() &&
        m_reader.status().m_last_contact) {
        m_source_confirmed_at = m_reader.status().m_last_contact;
    }
}

void core::on_hosts(std::uint64_t index, const std::string& bytes)
{
    if (index <= m_hosts.m_index) {
        return;
    }
    reason why;
    const std::optional<std::vector<listed_host>> hosts = parse_hosts(bytes, why);
    if (!hosts) {
        m_hooks.m_log(log_level::warning, "hosts_refused", why.m_text);
        return;
    }
    m_hosts = {index, bytes, {}, {}};
    for (const listed_host& host : *hosts) {
        m_hosts.m_addresses.insert(host.m_address);
        if (host.m_leaving) {
            m_hosts.m_leaving.insert(host.m_address);
        }
    }
    refresh_candidate_addresses();
    // A leaving host must be drained within seconds, so the new list is announced at once.
    m_gossip.push_state();
}

void core::refresh_candidate_addresses()
{
    std::set<std::string> hints(m_options.m_seeds.begin(), m_options.m_seeds.end());
    hints.insert(m_hosts.m_addresses.begin(), m_hosts.m_addresses.end());
    if (const config::snapshot_ptr config = m_versions.gate().current()) {
        for (const config::service& service : config->m_services) {
            for (const config::target& target : service.m_targets) {
                hints.insert(target.m_host);
            }
        }
    }
    m_gossip.set_candidate_addresses(std::move(hints));
}

void core::announce_leaving()
{
    m_gossip.leave();
    m_reader.set_watching(false);
}

std::vector<membership::member> core::members() const
{
    std::vector<membership::member> result = m_gossip.table().all();
    for (membership::member& item : result) {
        if (m_hosts.m_leaving.contains(item.m_address) &&
            item.m_state != membership::member_state::dead) {
            item.m_state = membership::member_state::leaving;
        }
    }
    return result;
}

} // namespace pomelohead::distribution
