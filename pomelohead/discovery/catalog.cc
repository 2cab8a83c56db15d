#include "pomelohead/discovery/catalog.h"

#include "pomelohead/discovery/relayed_store.h"
#include "pomelohead/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace pomelohead::discovery {
namespace {

// How long a node that starts looks for others before it lists the store. When a whole fleet
// starts at once its seeds need some tenths of a second to list the store themselves.
constexpr duration find_members_limit = std::chrono::seconds(2);
constexpr duration find_members_pause = std::chrono::milliseconds(100);

} // namespace

catalog::catalog(boost::asio::io_context& io, const catalog_options& options, timer_service& timers,
                 const open_part_fn& open, decode_fn decode)
    : m_io(io), m_options(options), m_timers(timers),
      m_snapshot_builder(std::move(decode),
                         [this](const config::snapshot_ptr& now) {
                             if (m_on_snapshot) {
                                 m_on_snapshot(now);
                             }
                         }),
      m_configuration{"configuration",
                      {},
                      {},
                      source::relay(options.m_incarnation),
                      relay_selector(options.m_address, options.m_is_preferred_relay
                                                            ? relay_role::preferred
                                                            : relay_role::none)},
      m_registrations{"registrations",
                      {},
                      {},
                      source::relay(options.m_incarnation),
                      relay_selector(options.m_address, options.m_is_preferred_relay
                                                            ? relay_role::preferred
                                                            : relay_role::fallback)},
      m_relay_server(
          io, {options.m_address, options.m_relay_port},
          {m_configuration.m_relay, m_configuration.m_relay_selector, options.m_timing.m_max_age},
          {m_registrations.m_relay, m_registrations.m_relay_selector, options.m_timing.m_max_age},
          [this](const std::string& failure_domain) {
              return m_snapshot_builder.hosts_of(failure_domain);
          }),
      m_seeds(io, options.m_seeds,
              {options.m_address, options.m_failure_domain, options.m_relay_port,
               options.m_is_preferred_relay},
              options.m_incarnation)
{
    open_stores(open);
    const std::uint64_t seed = options.m_incarnation;
    m_configuration.m_follower.emplace(options.m_configuration, timers, make_hooks(m_configuration),
                                       seed);
    m_registrations.m_follower.emplace(options.m_registrations, timers, make_hooks(m_registrations),
                                       seed + 1);
}

void catalog::open_stores(const open_part_fn& open)
{
    const auto open_part = [&](followed_part& part, source::store_part which) {
        part.m_store = std::make_shared<relayed_store>(
            open(which), std::make_unique<http_relay_client>(m_io, m_options.m_relay_port),
            relayed_store_options{which, m_options.m_address, m_options.m_timing},
            part.m_relay_selector);
    };
    open_part(m_configuration, source::store_part::configuration);
    open_part(m_registrations, source::store_part::registrations);
}

source::follower_hooks catalog::make_hooks(followed_part& part)
{
    using source::store_answer;
    source::follower_hooks hooks;
    hooks.m_list = [this, &part](const source::list_request& request,
                                 std::function<void(store_answer)> done) {
        m_calls.spawn([this, &part, store = part.m_store, request, done = std::move(done)] {
            done(store->list(request));
            update_relay_status(part);
        });
    };
    hooks.m_watch = [this, &part](const source::watch_request& request,
                                  std::function<void(store_answer)> done) {
        m_calls.spawn([this, &part, store = part.m_store, request, done = std::move(done)] {
            done(store->watch(request));
            update_relay_status(part);
        });
    };
    hooks.m_on_put = [this, &part](const source::key_change& change) {
        // Of a restored store, what is known here may be newer.
        if (m_snapshot_builder.put(change)) {
            part.m_relay.put(change);
        }
        else {
            part.m_relay.keep(change.m_revision);
        }
    };
    hooks.m_on_removed = [this, &part](const std::string& key,
                                       const source::store_revision& revision) {
        m_snapshot_builder.remove(key, revision);
        part.m_relay.remove(key, revision);
    };
    hooks.m_on_answer_applied = [this] { on_changes_applied(); };
    hooks.m_on_contact_lost = [&part](const reason& why) {
        log_event(log_level::warning, "store_lost",
                  {{"part", part.m_name}, {"code", to_string(why.m_code)}, {"why", why.m_text}});
    };
    hooks.m_on_watch_cut = [&part](const reason& why) {
        log_event(log_level::info, "watch_cut",
                  {{"part", part.m_name}, {"code", to_string(why.m_code)}, {"why", why.m_text}});
    };
    hooks.m_on_history_lost = [&part](const source::store_answer& answer) {
        log_event(log_level::info, "store_history_lost",
                  {{"part", part.m_name},
                   {"epoch", answer.m_revision.m_epoch},
                   {"after_epoch", part.m_follower->status().m_revision.m_epoch},
                   {"after", part.m_follower->status().m_revision.m_number}});
    };
    hooks.m_on_restored = [&part](const source::store_revision& known,
                                  const source::store_revision& answered) {
        log_event(log_level::warning, "store_restored",
                  {{"part", part.m_name},
                   {"epoch", answered.m_epoch},
                   {"revision", answered.m_number},
                   {"known_epoch", known.m_epoch},
                   {"known_revision", known.m_number}});
    };
    hooks.m_on_listed = [&part](const source::list_summary& list) {
        log_event(log_level::info, "store_listed",
                  {{"part", part.m_name},
                   {"epoch", list.m_revision.m_epoch},
                   {"revision", list.m_revision.m_number},
                   {"ignored", list.m_ignored},
                   {"relayed", list.m_relayed}});
    };
    hooks.m_on_removed_value_ignored = [&part](const std::string& key,
                                               const source::store_revision& revision) {
        log_event(log_level::info, "removed_value_ignored",
                  {{"part", part.m_name},
                   {"key", key},
                   {"epoch", revision.m_epoch},
                   {"revision", revision.m_number}});
    };
    hooks.m_on_removal_deferred = [&part](const std::string& key,
                                          const source::store_revision& revision,
                                          duration grace_left) {
        // The grace is for what this node has missed. Its followers may not have lost the store.
        part.m_relay.remove(key, revision);
        log_event(log_level::info, "removal_deferred",
                  {{"part", part.m_name},
                   {"key", key},
                   {"epoch", revision.m_epoch},
                   {"revision", revision.m_number},
                   {"ms", std::chrono::duration_cast<milliseconds>(grace_left).count()}});
    };
    hooks.m_on_call_failed = [&part](const reason& why, duration pause) {
        log_event(log_level::info, "store_call_failed",
                  {{"part", part.m_name},
                   {"code", to_string(why.m_code)},
                   {"why", why.m_text},
                   {"retry_ms", std::chrono::duration_cast<milliseconds>(pause).count()}});
    };
    hooks.m_on_contact_regained = [&part] {
        log_event(log_level::info, "store_reached", {{"part", part.m_name}});
    };
    return hooks;
}

void catalog::on_changes_applied()
{
    // The configuration's key comes before those of evacuations in a list. By its first page alone
    // a node that starts would serve as if nothing was evacuated.
    if (m_configuration.m_follower->status().m_listed) {
        m_snapshot_builder.publish();
    }
    const std::vector<std::string> hosts = m_snapshot_builder.hosts_of(m_options.m_failure_domain);
    if (!hosts.empty()) {
        set_members(hosts);
    }
    m_relay_server.members_changed();
}

void catalog::set_members(const std::vector<std::string>& addresses)
{
    m_configuration.m_relay_selector.set_members(addresses);
    m_registrations.m_relay_selector.set_members(addresses);
}

void catalog::update_relay_status(followed_part& part)
{
    const source::follower_status& status = part.m_follower->status();
    part.m_relay.set_as_of(status.m_as_of);
    if (!status.m_up || !status.m_listed) {
        part.m_relay.set_feed(source::relay_feed::none);
    }
    else if (status.m_relayed) {
        part.m_relay.set_feed(source::relay_feed::relays);
    }
    else {
        part.m_relay.set_complete_revision(status.m_revision);
        part.m_relay.set_feed(source::relay_feed::store);
    }
}

bool catalog::start(reason& why)
{
    if (!m_relay_server.start(why)) {
        return false;
    }
    if (!m_seeds.has_others()) {
        follow();
        return true;
    }
    m_calls.spawn([this] {
        find_members();
        if (!m_stopped) {
            follow();
        }
    });
    return true;
}

// Suspends the calling fiber until a seed has named members of the failure domain, or this node
// has to list the store itself.
void catalog::find_members()
{
    const time_point end = m_timers.now() + find_members_limit;
    while (!m_stopped && m_timers.now() < end) {
        if (const auto hints = m_seeds.ask()) {
            set_members(hints->m_members);
            m_configuration.m_relay_selector.add_relays(hints->m_relays);
            m_registrations.m_relay_selector.add_relays(hints->m_relays);
            return;
        }
        // Others that start at the same time wait for this node.
        if (m_seeds.is_seed() || m_relay_server.was_asked_in_vain()) {
            return;
        }
        sleep_for(find_members_pause);
    }
}

void catalog::follow()
{
    m_is_following = true;
    m_configuration.m_follower->start();
    m_registrations.m_follower->start();
}

void catalog::on_snapshot(std::function<void(const config::snapshot_ptr&)> hook)
{
    m_on_snapshot = std::move(hook);
}

void catalog::restart()
{
    m_restarted_at = m_timers.now();
    restart_followers();
}

void catalog::restart_followers()
{
    if (m_is_following) {
        m_configuration.m_follower->restart();
        m_registrations.m_follower->restart();
    }
}

void catalog::use_store(const open_part_fn& open)
{
    m_configuration.m_store->cancel();
    m_registrations.m_store->cancel();
    open_stores(open);
    restart_followers();
}

bool catalog::is_confirmed() const
{
    const auto contacted_since = [this](const followed_part& part) {
        const auto& contact = part.m_follower->status().m_last_contact;
        return contact && *contact > *m_restarted_at;
    };
    return !m_restarted_at ||
           (contacted_since(m_configuration) && contacted_since(m_registrations));
}

std::optional<duration> catalog::configuration_age() const
{
    const std::optional<time_point>& as_of = m_configuration.m_follower->status().m_as_of;
    return as_of ? std::optional(m_timers.now() - *as_of) : std::nullopt;
}

void catalog::stop()
{
    m_stopped = true;
    m_seeds.cancel();
    for (followed_part* part : {&m_configuration, &m_registrations}) {
        part->m_follower->stop();
        part->m_store->cancel();
    }
    m_relay_server.stop();
    m_calls.wait();
}

} // namespace pomelohead::discovery
