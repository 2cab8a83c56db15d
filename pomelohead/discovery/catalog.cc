#include "pomelohead/discovery/catalog.h"

#include "pomelohead/telemetry/log.h"

namespace pomelohead::discovery {

catalog::catalog(const catalog_options& options, timer_service& timers, const open_part_fn& open,
                 decode_fn decode, std::uint64_t seed)
    : m_timers(timers), m_directory(std::move(decode),
                                    [this](const config::snapshot_ptr& now) {
                                        if (m_on_snapshot) {
                                            m_on_snapshot(now);
                                        }
                                    }),
      m_configuration{"configuration", open(source::store_part::configuration), {}},
      m_registrations{"registrations", open(source::store_part::registrations), {}}
{
    m_configuration.m_follower.emplace(options.m_configuration, timers, make_hooks(m_configuration),
                                       seed);
    m_registrations.m_follower.emplace(options.m_registrations, timers, make_hooks(m_registrations),
                                       seed + 1);
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
    hooks.m_put = [this](const source::key_change& change) { m_directory.put(change); };
    hooks.m_removed = [this](const std::string& key) { m_directory.remove(key); };
    hooks.m_settled = [this] { m_directory.settle(); };
    hooks.m_lost = [&part](const reason& why) {
        log_event(log_level::warning, "store_lost",
                  {{"part", part.m_name}, {"code", to_string(why.m_code)}, {"why", why.m_text}});
    };
    hooks.m_regained = [&part] {
        log_event(log_level::info, "store_reached", {{"part", part.m_name}});
    };
    return hooks;
}

void catalog::start()
{
    m_configuration.m_follower->start();
    m_registrations.m_follower->start();
}

void catalog::on_snapshot(std::function<void(const config::snapshot_ptr&)> hook)
{
    m_on_snapshot = std::move(hook);
}

void catalog::restart()
{
    m_restarted = m_timers.now();
    m_configuration.m_follower->restart();
    m_registrations.m_follower->restart();
}

void catalog::use_store(const open_part_fn& open)
{
    m_configuration.m_store->cancel();
    m_registrations.m_store->cancel();
    m_configuration.m_store = open(source::store_part::configuration);
    m_registrations.m_store = open(source::store_part::registrations);
    m_configuration.m_follower->restart();
    m_registrations.m_follower->restart();
}

bool catalog::is_confirmed() const
{
    const auto heard_since = [this](const followed_part& part) {
        const auto& contact = part.m_follower->status().m_last_contact;
        return contact && *contact > *m_restarted;
    };
    return !m_restarted || (heard_since(m_configuration) && heard_since(m_registrations));
}

void catalog::stop()
{
    for (followed_part* part : {&m_configuration, &m_registrations}) {
        part->m_follower->stop();
        part->m_store->cancel();
    }
    m_calls.wait();
}

} // namespace pomelohead::discovery
