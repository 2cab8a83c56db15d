#include "pomelohead/discovery/relayed_store.h"

#include "pomelohead/discovery/relay_server.h"
#include "pomelohead/source/relay_codec.h"
#include "pomelohead/telemetry/log.h"

namespace pomelohead::discovery {
namespace {

using source::store_answer;
using source::store_status;

// A relay is in the same failure domain. Transferring a packed configuration over a slow host's
// link takes some tenths of a second.
constexpr duration connect_timeout = std::chrono::milliseconds(200);
constexpr duration answer_timeout = std::chrono::milliseconds(1'000);
// Time limit for finding a relay before the store itself is watched. Nodes that decline do so
// within milliseconds unless they are overloaded.
constexpr duration probe_timeout = std::chrono::milliseconds(100);
// Upper bound of a relay's watch on the store: a relay that has lost the store must detect it
// within the time in which a change has to be in force. It also bounds the watch of a node that
// is still looking for a relay.
constexpr milliseconds relay_watch_wait{1'000};
constexpr std::size_t idle_connections = 1;
constexpr unsigned status_ok = 200;
constexpr unsigned status_declined = 409;
constexpr unsigned status_gone = 410;

store_answer failure(reason why)
{
    store_answer answer;
    answer.m_why = std::move(why);
    return answer;
}

std::optional<store_answer> to_store_answer(const source::relayed_changes& changes, reason& why)
{
    store_answer answer;
    answer.m_status = store_status::ok;
    answer.m_revision = changes.m_revision;
    answer.m_relayed = true;
    for (const source::relayed_item& item : changes.m_items) {
        source::key_change change{item.m_key, item.m_revision, std::nullopt};
        if (item.m_value) {
            change.m_value = source::unpack(*item.m_value, why);
            if (!change.m_value) {
                return std::nullopt;
            }
        }
        answer.m_items.push_back(std::move(change));
    }
    return answer;
}

} // namespace

relayed_store::relayed_store(boost::asio::io_context& io,
                             std::unique_ptr<source::key_value_store> direct,
                             source::store_part part, relay_selector& selector, std::uint16_t port)
    : m_io(io), m_direct(std::move(direct)), m_path(relay_path(part)), m_relay_selector(selector),
      m_port(port)
{
}

void relayed_store::switch_to(const std::optional<std::string>& relay)
{
    if (m_relay == relay) {
        return;
    }
    log_event(log_level::info, "feed_chosen",
              {{"path", m_path}, {"from", relay.value_or("store")}});
    m_relay = relay;
    m_pool.reset();
    if (relay) {
        m_pool = std::make_shared<forwarding::connection_pool>(
            m_io, forwarding::endpoint{*relay, m_port}, idle_connections, connect_timeout);
    }
}

store_answer relayed_store::query_relay(const std::string& relay, const std::string& query,
                                        duration limit)
{
    const auto pool = m_pool; // a concurrent call may replace m_pool
    return query_relay(*pool, relay, query, limit);
}

store_answer relayed_store::query_relay(forwarding::connection_pool& pool, const std::string& relay,
                                        const std::string& query, duration limit)
{
    const std::uint64_t call = ++m_latest_call;
    reason why{reason_code::cancelled, "the client is closed"};
    const auto response = m_cancelled
                              ? std::nullopt
                              : forwarding::http_get(pool, relay, m_path + query,
                                                     {.m_deadline = clock_type::now() + limit,
                                                      .m_max_bytes = source::max_unpacked_bytes},
                                                     m_in_flight, why);
    if (!response) {
        m_relay_selector.record_failure(relay, clock_type::now());
        return failure(std::move(why));
    }
    if (response->m_status == status_gone) {
        store_answer expired;
        expired.m_status = store_status::history_lost;
        return expired;
    }
    if (response->m_status == status_declined) {
        m_relay_selector.record_decline(relay, clock_type::now());
        return failure({reason_code::refused, "the node " + relay + " declined to relay"});
    }
    if (response->m_status != status_ok) {
        m_relay_selector.record_failure(relay, clock_type::now());
        return failure({reason_code::refused,
                        "the relay " + relay + " answered " + std::to_string(response->m_status)});
    }
    const auto changes = source::decode_changes(response->m_body, why);
    if (changes && changes->m_revision < m_newest_revision) {
        why = {reason_code::stale, "the relay " + relay + " is behind"};
    }
    auto answer = changes && changes->m_revision >= m_newest_revision
                      ? to_store_answer(*changes, why)
                      : std::nullopt;
    if (!answer) {
        m_relay_selector.record_failure(relay, clock_type::now());
        return failure(std::move(why));
    }
    m_relay_selector.record_success(relay);
    if (call == m_latest_call) {
        m_cursor = changes->m_cursor;
    }
    m_newest_revision = std::max(m_newest_revision, changes->m_revision);
    return std::move(*answer);
}

store_answer relayed_store::track_revision(store_answer answer)
{
    for (const source::key_change& change : answer.m_items) {
        m_newest_revision = std::max(m_newest_revision, change.m_revision);
    }
    return answer;
}

store_answer relayed_store::list(const source::list_request& request)
{
    // After a relay has failed, list() does not look for another one: it calls the store at once,
    // and watch() looks for a relay.
    const auto relay = std::exchange(m_next_relay, std::nullopt);
    if (relay && request.m_after.empty()) {
        switch_to(relay);
        store_answer all = query_relay(*relay, "", answer_timeout);
        if (all.m_status == store_status::ok || m_cancelled) {
            return all;
        }
        log_relay_failure(all.m_why);
    }
    switch_to(std::nullopt);
    return track_revision(m_direct->list(request));
}

// Returns the relay to follow, or nullopt for the store. Probes a relay other than the current
// one first.
std::optional<std::string> relayed_store::find_relay()
{
    const time_point end = clock_type::now() + probe_timeout;
    while (!m_cancelled && clock_type::now() < end) {
        auto relay = m_relay_selector.choose(clock_type::now());
        if (!relay || relay == m_relay) {
            return relay;
        }
        forwarding::connection_pool pool(m_io, {*relay, m_port}, 0, probe_timeout);
        const store_answer probe_answer = query_relay(pool, *relay, "?cursor=0", probe_timeout);
        if (probe_answer.m_status != store_status::failed) {
            return m_next_relay = relay;
        }
    }
    return std::nullopt;
}

void relayed_store::log_relay_failure(const reason& why) const
{
    log_event(log_level::info, "relay_failed",
              {{"path", m_path}, {"code", to_string(why.m_code)}, {"why", why.m_text}});
}

// Returns how long to watch the store before looking for a relay again.
milliseconds relayed_store::direct_watch_wait(milliseconds asked) const
{
    const time_point now = clock_type::now();
    if (m_relay_selector.is_relay(now)) {
        return std::min(asked, relay_watch_wait);
    }
    const auto until_change = m_relay_selector.time_until_change(now);
    if (!until_change) {
        return asked;
    }
    const auto wait = std::chrono::ceil<milliseconds>(*until_change);
    return std::min(asked, std::max(wait, relay_watch_wait));
}

store_answer relayed_store::watch(const source::watch_request& request)
{
    store_answer expired;
    expired.m_status = store_status::history_lost;
    const auto relay = find_relay();
    if (relay != m_relay) {
        return expired;
    }
    if (!relay) {
        return track_revision(
            m_direct->watch({request.m_after, direct_watch_wait(request.m_wait)}));
    }
    store_answer changes = query_relay(*relay,
                                       "?cursor=" + std::to_string(m_cursor) +
                                           "&wait_ms=" + std::to_string(request.m_wait.count()),
                                       request.m_wait + answer_timeout);
    if (changes.m_status == store_status::failed && !m_cancelled) {
        log_relay_failure(changes.m_why);
        return expired;
    }
    return changes;
}

void relayed_store::cancel()
{
    m_cancelled = true;
    m_direct->cancel();
    for (forwarding::client_connection* connection : m_in_flight) {
        connection->m_stream.close();
    }
}

} // namespace pomelohead::discovery
