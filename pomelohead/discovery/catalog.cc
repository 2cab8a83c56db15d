#include "pomelohead/discovery/catalog.h"

#include "pomelohead/discovery/relayed_store.h"
#include "pomelohead/telemetry/log.h"

namespace pomelohead::discovery {

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
                      relay_selector(options.m_address, options.m_relays_configuration)},
      m_registrations{"registrations",
                      {},
                      {},
                      source::relay(options.m_incarnation),
                      relay_selector(options.m_address, true)},
      m_relay_server(io, {options.m_address, options.m_relay_port},
                     {m_configuration.m_relay, m_configuration.m_relay_selector},
                     {m_registrations.m_relay, m_registrations.m_relay_selector})
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
            m_io, open(which), which, part.m_relay_selector, m_options.m_relay_port);
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
        m_calls.spawn([store = part.m_store, request, done = std::move(done)] {
            done(store->list(request));
        });
    };
    hooks.m_watch = [this, &part](const source::watch_request& request,
                                  std::function<void(store_answer)> done) {
        m_calls.spawn([store = part.m_store, request, done = std::move(done)] {
            done(store->watch(request));
        });
    };
    hooks.m_on_put = [this, &part](const source::key_change& change) {
        m_snapshot_builder.put(change);
        part.m_relay.put(change);
    };
    hooks.m_on_removed = [this, &part](const std::string& key) {
        m_snapshot_builder.remove(key);
        part.m_relay.remove(key, part.m_follower->status().m_revision);
    };
    hooks.m_on_answer_applied = [this, &part] { on_changes_applied(part); };
    hooks.m_on_contact_lost = [this, &part](const reason& why) {
        update_relay_status(part);
        log_event(log_level::warning, "store_lost",
                  {{"part", part.m_name}, {"code", to_string(why.m_code)}, {"why", why.m_text}});
    };
    hooks.m_on_contact_regained = [this, &part] {
        update_relay_status(part);
        log_event(log_level::info, "store_reached", {{"part", part.m_name}});
    };
    return hooks;
}

void catalog::on_changes_applied(followed_part& part)
{
    m_snapshot_builder.publish();
    const std::vector<std::string> hosts = m_snapshot_builder.hosts_of(m_options.m_failure_domain);
    m_configuration.m_relay_selector.set_members(hosts);
    m_registrations.m_relay_selector.set_members(hosts);
    update_relay_status(part);
}

void catalog::update_relay_status(followed_part& part)
{
    const source::follower_status& status = part.m_follower->status();
    part.m_relay.set_has_store_contact(status.m_up && status.m_listed);
}

bool catalog::start(reason& why)
{
    if (!m_relay_server.start(why)) {
        return false;
    }
    m_configuration.m_follower->start();
    m_registrations.m_follower->start();
    return true;
}

void catalog::on_snapshot(std::function<void(const config::snapshot_ptr&)> hook)
{
    m_on_snapshot = std::move(hook);
}

void catalog::restart()
{
    m_restarted_at = m_timers.now();
    m_configuration.m_follower->restart();
    m_registrations.m_follower->restart();
}

void catalog::use_store(const open_part_fn& open)
{
    m_configuration.m_store->cancel();
    m_registrations.m_store->cancel();
    open_stores(open);
    m_configuration.m_follower->restart();
    m_registrations.m_follower->restart();
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

void catalog::stop()
{
    for (followed_part* part : {&m_configuration, &m_registrations}) {
        part->m_follower->stop();
        part->m_store->cancel();
    }
    m_relay_server.stop();
    m_calls.wait();
}

} // namespace pomelohead::discovery
