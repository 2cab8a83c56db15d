#include "pomelohead/discovery/catalog.h"

#include "pomelohead/telemetry/log.h"

namespace pomelohead::discovery {

catalog::catalog(source::follower_options options, timer_service& timers,
                 std::unique_ptr<source::key_value_store> store, decode_fn decode,
                 std::uint64_t seed)
    : m_timers(timers), m_store(std::move(store)),
      m_directory(std::move(decode),
                  [this](const config::snapshot_ptr& now) {
                      if (m_on_snapshot) {
                          m_on_snapshot(now);
                      }
                  }),
      m_follower(options, timers, make_hooks(), seed)
{
}

source::follower_hooks catalog::make_hooks()
{
    using source::store_answer;
    source::follower_hooks hooks;
    hooks.m_list = [this](const source::list_request& request,
                          std::function<void(store_answer)> done) {
        m_calls.spawn(
            [store = m_store, request, done = std::move(done)] { done(store->list(request)); });
    };
    hooks.m_watch = [this](const source::watch_request& request,
                           std::function<void(store_answer)> done) {
        m_calls.spawn(
            [store = m_store, request, done = std::move(done)] { done(store->watch(request)); });
    };
    hooks.m_put = [this](const source::key_change& change) { m_directory.put(change); };
    hooks.m_removed = [this](const std::string& key) { m_directory.remove(key); };
    hooks.m_settled = [this] { m_directory.settle(); };
    hooks.m_lost = [](const reason& why) {
        log_event(log_level::warning, "store_lost",
                  {{"code", to_string(why.m_code)}, {"why", why.m_text}});
    };
    hooks.m_regained = [] { log_event(log_level::info, "store_reached"); };
    return hooks;
}

void catalog::on_snapshot(std::function<void(const config::snapshot_ptr&)> hook)
{
    m_on_snapshot = std::move(hook);
}

void catalog::restart()
{
    m_restarted = m_timers.now();
    m_follower.restart();
}

void catalog::use_store(std::unique_ptr<source::key_value_store> store)
{
    m_store->cancel();
    m_store = std::move(store);
    m_follower.restart();
}

bool catalog::is_confirmed() const
{
    return !m_restarted || (status().m_last_contact && *status().m_last_contact > *m_restarted);
}

void catalog::stop()
{
    m_follower.stop();
    m_store->cancel();
    m_calls.wait();
}

} // namespace pomelohead::discovery
