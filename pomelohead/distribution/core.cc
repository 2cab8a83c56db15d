#include "pomelohead/distribution/core.h"

#include "pomelohead/distribution/hosts.h"

#include <algorithm>

namespace pomelohead::distribution {
namespace {

// Seeds, and then members, that a starting node asks.
constexpr std::size_t max_first_asked = 3;

// Members asked for members in one round while the view settles: what a node knows
// grows up to threefold in a round, so that the rounds grow with the fleet's logarithm.
constexpr std::size_t asked_in_round = 2;

// Answers in a row without anybody new that show a settled view.
constexpr unsigned answers_settled = 2;

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
                .m_manifest =
                    [this](const std::string& bytes) {
                        m_versions.on_source_manifest(bytes, now());
                        on_source_confirmed();
                    },
                .m_hosts = [this](std::uint64_t index,
                                  const std::string& bytes) { on_hosts(index, bytes); },
                .m_section =
                    [this](const std::string& hash, std::string bytes) {
                        m_versions.on_source_section(hash, std::move(bytes), now());
                    },
                .m_section_failed =
                    [this](const std::string& hash, const reason& why) {
                        m_versions.on_source_section_failed(hash, why, now());
                    },
                .m_confirmed = [this] { on_source_confirmed(); }},
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
    m_running = true;
    m_last_tick = now();
    m_last_peer_word = now();
    m_next_own_read = now() + random_up_to(m_options.m_own_read_period);
    m_tick = m_timers.every(m_options.m_tick, [this] { tick(); });
    refresh_hints();
    m_gossip.start(now());
    if (!m_options.m_gossip_enabled) {
        finish_join();
        return;
    }
    std::vector<std::string> seeds = m_options.m_seeds;
    std::erase(seeds, m_options.m_self.m_address);
    std::ranges::shuffle(seeds, m_random);
    if (seeds.size() > max_first_asked) {
        seeds.resize(max_first_asked);
    }
    m_awaited.insert(seeds.begin(), seeds.end());
    m_join_deadline = now() + m_options.m_join_limit;
    if (m_awaited.empty()) {
        finish_join();
    }
    for (const std::string& address : seeds) {
        m_hooks.m_send(address, join_request{});
    }
}

void core::stop()
{
    m_running = false;
    m_tick.cancel();
    m_reader.stop();
}

duration core::random_up_to(milliseconds limit)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(0, limit.count())(m_random));
}

void core::answered_join(const std::string& address)
{
    if (m_joined || m_awaited.erase(address) == 0) {
        return;
    }
    if (!m_asked_members) {
        // Nodes other than the seeds may have heard of newer versions.
        m_asked_members = true;
        for (const std::string& member : m_gossip.table().sample(max_first_asked, m_random)) {
            if (member != address) {
                m_awaited.insert(member);
                m_gossip.tell(member, true);
            }
        }
    }
    if (m_awaited.empty()) {
        finish_join();
    }
}

void core::finish_join()
{
    m_joined = true;
    if (!m_options.m_seeds.empty() && m_options.m_gossip_enabled) {
        m_settling = settling{.m_next_round = now(),
                              .m_deadline = now() + m_options.m_settle_limit,
                              .m_changed = now(),
                              .m_known = 0,
                              .m_answers = 0};
    }
    else {
        m_watch_from = now();
    }
    m_versions.allow_first(true, now());
    decide_role();
}

void core::note_settling(bool answered)
{
    if (!m_settling) {
        return;
    }
    const std::size_t known = m_gossip.table().present().size();
    if (known != m_settling->m_known) {
        m_settling->m_known = known;
        m_settling->m_changed = now();
        m_settling->m_answers = 0;
    }
    else if (answered) {
        m_settling->m_answers += 1;
    }
}

void core::settle()
{
    if (!m_settling || now() < m_settling->m_next_round) {
        return;
    }
    note_settling(false);
    const bool quiet = m_settling->m_answers >= answers_settled &&
                       now() - m_settling->m_changed >= m_options.m_settle_quiet;
    if (quiet || now() >= m_settling->m_deadline) {
        m_settling.reset();
        m_watch_from = now() + random_up_to(m_options.m_settle);
        return;
    }
    m_settling->m_next_round = now() + m_options.m_settle_round;
    for (const std::string& address : m_gossip.table().sample(asked_in_round, m_random)) {
        m_hooks.m_send(address, join_request{});
    }
}

void core::tick()
{
    check_freeze();
    if (!m_joined && now() >= m_join_deadline) {
        finish_join();
    }
    m_versions.tick(now());
    if (!m_options.m_gossip_enabled) {
        return;
    }
    settle();
    m_gossip.tick(now());
    decide_role();
    read_source_if_silent();
}

void core::check_freeze()
{
    const duration since = now() - m_last_tick;
    m_last_tick = now();
    if (since >= m_options.m_freeze) {
        m_last_freeze = since;
        m_last_peer_word = now();
        m_confirm_deadline = now() + m_options.m_confirm_limit;
        m_hooks.m_log(log_level::warning, "process_was_frozen",
                      std::to_string(std::chrono::duration_cast<milliseconds>(since).count()) +
                          " ms without a tick");
        m_versions.forget_requests(now());
        m_reader.restart();
        m_gossip.doubt(now());
        if (m_hooks.m_thaw) {
            m_hooks.m_thaw(since);
        }
    }
    else if (m_gossip.is_unconfirmed() && now() >= m_confirm_deadline) {
        m_hooks.m_log(log_level::warning, "unconfirmed",
                      "nobody answered since the freeze; going on alone");
        m_gossip.confirm();
    }
}

void core::decide_role()
{
    if (!m_joined || !m_watch_from || now() < *m_watch_from) {
        return;
    }
    const membership::member_table& table = m_gossip.table();
    m_reader.watch(!m_options.m_gossip_enabled ||
                   (!m_gossip.is_superseded() &&
                    membership::is_watcher(table.self(), table.present(), m_options.m_watchers)));
}

void core::read_source_if_silent()
{
    if (!m_joined || now() < m_next_own_read || m_reader.status().m_watching) {
        return;
    }
    const bool silent = now() - m_last_peer_word > m_options.m_silence;
    const bool stale = !m_source_confirmed || now() - *m_source_confirmed > m_options.m_stale;
    if (silent || stale) {
        m_reader.read_manifest();
        m_next_own_read =
            now() + m_options.m_own_read_period + random_up_to(2 * m_options.m_own_read_period);
    }
}

void core::on_in_force(const config::snapshot_ptr& config)
{
    m_source_confirmed.reset();
    if (m_claimed == m_versions.gate().held()) {
        m_source_confirmed = m_claimed_confirmed;
    }
    on_source_confirmed();
    m_gossip.table().set_own_version(config->m_version);
    refresh_hints();
    if (m_options.m_gossip_enabled) {
        m_gossip.push();
    }
    m_hooks.m_applied(config);
}

void core::on_source_confirmed()
{
    if (m_versions.source_version() == m_versions.gate().held() &&
        m_reader.status().m_last_contact) {
        m_source_confirmed = m_reader.status().m_last_contact;
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
    refresh_hints();
    // Work must leave a leaving host within seconds, so the word is passed on at once.
    m_gossip.push();
}

void core::refresh_hints()
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
    m_gossip.set_hints(std::move(hints));
}

void core::announce_leaving()
{
    m_gossip.leave();
    m_reader.watch(false);
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
