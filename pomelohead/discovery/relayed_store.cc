#include "pomelohead/discovery/relayed_store.h"

#include "pomelohead/discovery/referral.h"
#include "pomelohead/discovery/relay_server.h"
#include "pomelohead/source/relay_codec.h"
#include "pomelohead/telemetry/log.h"

#include <algorithm>
#include <charconv>

namespace pomelohead::discovery {
namespace {

using source::store_answer;
using source::store_status;

// How long a node that has nothing yet waits for a relay that is reading the store.
constexpr duration first_list_limit = std::chrono::milliseconds(1'500);
constexpr milliseconds max_store_answer_slack{1'200};
constexpr unsigned status_ok = 200;
constexpr unsigned status_declined = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_store_lost = 502;
constexpr unsigned status_unavailable = 503;

std::optional<store_answer> to_store_answer(const source::relayed_changes& changes, reason& why)
{
    store_answer answer;
    answer.m_status = store_status::ok;
    answer.m_revision =
        changes.m_complete_revision.is_none() ? changes.m_revision : changes.m_complete_revision;
    answer.m_unchanged = changes.m_unchanged;
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

// Returns up to when a relay that was asked at `sent` knows all changes. Relays of earlier versions
// do not say it.
time_point parse_as_of(std::string_view text, time_point sent, time_point now)
{
    constexpr std::int64_t max_ms = 3'600'000;
    std::int64_t since_request_ms = 0;
    const char* end = text.data() + text.size();
    if (std::from_chars(text.data(), end, since_request_ms).ptr != end) {
        since_request_ms = 0;
    }
    // The request arrived after it was sent, so that the result is never too late.
    return std::min(sent + milliseconds(std::clamp(since_request_ms, -max_ms, max_ms)), now);
}

std::int64_t whole_ms(duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

} // namespace

relayed_store::relayed_store(std::unique_ptr<source::key_value_store> direct,
                             std::unique_ptr<relay_client> relays, relayed_store_options options,
                             relay_selector& selector)
    : m_direct(std::move(direct)), m_relays(std::move(relays)), m_options(std::move(options)),
      m_path(relay_path(m_options.m_part)), m_relay_selector(selector),
      m_answer_limit(m_options.m_timing.m_store_answer_slack, max_store_answer_slack)
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
}

store_answer relayed_store::failure(const std::string& relay, const reason& why) const
{
    log_event(
        log_level::info, "relay_failed",
        {{"path", m_path}, {"relay", relay}, {"code", to_string(why.m_code)}, {"why", why.m_text}});
    store_answer answer;
    answer.m_why = why;
    return answer;
}

store_answer relayed_store::query(const std::string& relay, const std::string& query,
                                  duration limit)
{
    const std::uint64_t call = ++m_latest_call;
    const time_point sent = m_options.m_now();
    std::string path = m_path + query;
    if (m_relay_selector.role() == relay_role::preferred) {
        path += "&relay=" + m_options.m_address;
    }
    reason why;
    const auto response = m_relays->get(relay, path,
                                        {.m_deadline = sent + limit,
                                         .m_piece_timeout = m_options.m_timing.m_search,
                                         .m_max_bytes = source::max_unpacked_bytes},
                                        why);
    if (!response) {
        m_relay_selector.record_failure(relay, m_options.m_now());
        return failure(relay, why);
    }
    return convert(relay, call, sent, *response);
}

store_answer relayed_store::convert(const std::string& relay, std::uint64_t call, time_point sent,
                                    const forwarding::full_response& response)
{
    const time_point now = m_options.m_now();
    reason why;
    if (response.m_status == status_gone) {
        store_answer expired;
        expired.m_status = store_status::history_lost;
        return expired;
    }
    if (response.m_status == status_declined || response.m_status == status_unavailable ||
        response.m_status == status_store_lost) {
        const auto hints = decode_referral(response.m_body, why);
        const std::string without_hints = hints ? "" : "; " + why.m_text;
        if (hints) {
            m_relay_selector.add_relays(hints->m_relays);
        }
        if (response.m_status == status_declined) {
            m_relay_selector.record_decline(relay, now);
            return failure(relay,
                           {reason_code::refused, "the node does not relay" + without_hints});
        }
        m_relay_selector.add_relays({relay});
        m_relay_selector.record_not_ready(relay, now);
        if (response.m_status == status_store_lost) {
            return failure(relay,
                           {reason_code::stale, "the relay has lost the store" + without_hints});
        }
        return failure(
            relay, {reason_code::refused, "the node is not the relay at present" + without_hints});
    }
    if (response.m_status != status_ok) {
        m_relay_selector.record_failure(relay, now);
        return failure(relay, {reason_code::refused,
                               "the relay answered " + std::to_string(response.m_status)});
    }
    const auto changes = source::decode_changes(response.m_body, why);
    if (changes && changes->m_revision < m_newest_revision) {
        why = {reason_code::stale, "the relay is behind"};
    }
    auto answer = changes && changes->m_revision >= m_newest_revision
                      ? to_store_answer(*changes, why)
                      : std::nullopt;
    if (!answer) {
        m_relay_selector.record_failure(relay, now);
        return failure(relay, why);
    }
    m_relay_selector.record_success(relay);
    m_relay_selector.add_relays(changes->m_relays);
    const bool is_fallback = std::ranges::find(changes->m_relays, relay) == changes->m_relays.end();
    if (is_fallback && m_relay_selector.role() == relay_role::preferred) {
        // It relays only until it knows of this node, which must not follow it any further.
        m_relay_selector.record_decline(relay, now);
    }
    if (call == m_latest_call) {
        m_cursor = changes->m_cursor;
        m_can_resume = !changes->m_complete_revision.is_none();
    }
    m_newest_revision = std::max(m_newest_revision, changes->m_revision);
    answer->m_as_of = parse_as_of(response.m_fields[as_of_header], sent, now);
    advance_as_of(*answer);
    return std::move(*answer);
}

// Lists from the first relay that answers within `limit`; nullopt if none does. `failed_relay` is
// the one that this node followed until now.
std::optional<store_answer>
relayed_store::list_from_relays(const source::store_revision& known_revision, duration limit,
                                const std::optional<std::string>& failed_relay)
{
    const std::string failed_parameter = failed_relay ? "&failed=" + *failed_relay : "";
    const time_point end = m_options.m_now() + limit;
    m_declined.reset();
    while (!m_cancelled) {
        const time_point now = m_options.m_now();
        const auto relay = m_relay_selector.choose(now);
        if (!relay || now >= end) {
            break;
        }
        // The relay holds the request for part of the time, so that its refusal still arrives.
        const duration hold = (end - now) * 3 / 4;
        store_answer all =
            query(*relay,
                  "?epoch=" + std::to_string(known_revision.m_epoch) +
                      "&known=" + std::to_string(known_revision.m_number) +
                      "&wait_ms=" + std::to_string(whole_ms(hold)) + failed_parameter,
                  end - now);
        if (all.m_status != store_status::ok) {
            continue;
        }
        if (time_until_overdue() > duration::zero()) {
            switch_to(relay);
            return all;
        }
        decline_outdated(*relay);
        all.m_is_complete_list = true;
        m_declined = std::move(all);
    }
    return std::nullopt;
}

store_answer relayed_store::track_revision(store_answer answer)
{
    m_can_resume = m_can_resume || answer.m_status == store_status::ok;
    for (const source::key_change& change : answer.m_items) {
        m_newest_revision = std::max(m_newest_revision, change.m_revision);
    }
    return answer;
}

// The last page of a list makes known what was so when the first one was read.
void relayed_store::advance_as_of(const store_answer& answer)
{
    if (answer.m_status == store_status::ok && !answer.m_has_more) {
        m_as_of = std::max(m_as_of, answer.m_as_of);
    }
}

// Zero or less if the store has to be called; nothing is overdue before the first answer.
duration relayed_store::time_until_overdue() const
{
    const duration age = m_as_of ? m_options.m_now() - *m_as_of : duration{};
    return m_options.m_timing.m_max_age - age;
}

store_answer relayed_store::list(const source::list_request& request)
{
    if (request.m_after.empty()) {
        const duration limit =
            request.m_known_revision.is_none() ? first_list_limit : m_options.m_timing.m_search;
        if (auto all = list_from_relays(request.m_known_revision, limit)) {
            return std::move(*all);
        }
        switch_to(std::nullopt);
        return or_declined(list_store(request));
    }
    return list_store(request);
}

store_answer relayed_store::list_store(const source::list_request& request)
{
    ++m_latest_call;
    const time_point due = m_options.m_now();
    source::list_request limited = request;
    limited.m_limit = m_answer_limit.current();
    store_answer page = m_direct->list(limited);
    // Later pages tell nothing newer than the first.
    m_list_sent_at = request.m_after.empty() ? due : m_list_sent_at;
    page.m_as_of = m_list_sent_at;
    advance_as_of(page);
    record_delay(page, due);
    return track_revision(std::move(page));
}

void relayed_store::record_delay(const store_answer& answer, time_point due)
{
    const time_point now = m_options.m_now();
    if (answer.m_status == store_status::failed && answer.m_why.m_code == reason_code::timed_out) {
        m_answer_limit.record_timeout();
    }
    else if (answer.m_status == store_status::ok && now >= due) {
        m_answer_limit.record_answer(now - due); // of a watch that ends early it is not known
    }
}

store_answer relayed_store::call_watch(const source::watch_request& request)
{
    ++m_latest_call;
    const time_point sent = m_options.m_now();
    const time_point due = sent + request.m_wait;
    store_answer changes = m_direct->watch(request);
    record_delay(changes, due);
    // A watch without changes was held for the time asked for, unless it ended early.
    changes.m_as_of = changes.m_items.empty() && m_options.m_now() >= due ? due : sent;
    advance_as_of(changes);
    return track_revision(std::move(changes));
}

store_answer relayed_store::watch_store(const source::watch_request& request)
{
    // What a relay did not tell any more may be due.
    const bool is_due = m_relay.has_value() || time_until_overdue() <= duration::zero();
    switch_to(std::nullopt);
    if (!m_can_resume) {
        ++m_latest_call;
        store_answer expired;
        expired.m_status = store_status::history_lost;
        return expired;
    }
    const milliseconds wait =
        is_due ? milliseconds(0) : std::min(request.m_wait, m_options.m_timing.m_store_watch_wait);
    store_answer changes = call_watch(
        {.m_after = request.m_after, .m_wait = wait, .m_slack = m_answer_limit.current()});
    // The connection may be dead while the store is up; the next call opens another one. It is a
    // list, as the store may have ceased to serve watches.
    if (changes.m_status == store_status::failed &&
        changes.m_why.m_code == reason_code::timed_out && !m_cancelled) {
        log_event(log_level::info, "store_call_repeated",
                  {{"path", m_path}, {"why", changes.m_why.m_text}});
        changes = list_store({});
        changes.m_is_complete_list = true;
    }
    return changes;
}

// What a relay has may be newer than what this node has, even if it is old.
store_answer relayed_store::or_declined(store_answer answer)
{
    if (answer.m_status != store_status::failed || !m_declined) {
        return answer;
    }
    return *std::exchange(m_declined, std::nullopt);
}

// For an answer of a relay that has not heard from the store for too long itself.
void relayed_store::decline_outdated(const std::string& relay)
{
    m_relay_selector.record_not_ready(relay, m_options.m_now());
    log_event(log_level::info, "relay_failed",
              {{"path", m_path},
               {"relay", relay},
               {"code", to_string(reason_code::stale)},
               {"why", "the relay has not heard from the store for too long"}});
}

// Asks for the changes after the cursor, so that the answer is there before the store has to be
// called.
store_answer relayed_store::poll(const std::string& relay, const source::watch_request& request)
{
    const duration slack = m_options.m_timing.m_answer_slack;
    const duration limit =
        std::min<duration>(m_options.m_timing.m_poll_wait + slack, time_until_overdue());
    const duration wait = std::clamp<duration>(limit - slack, {}, request.m_wait);
    return query(relay,
                 "?start=" + std::to_string(m_cursor.m_start) +
                     "&cursor=" + std::to_string(m_cursor.m_number) +
                     "&wait_ms=" + std::to_string(whole_ms(wait)),
                 limit);
}

store_answer relayed_store::watch(const source::watch_request& request)
{
    std::optional<std::string> failed_relay;
    const auto chosen = m_relay_selector.choose(m_options.m_now());
    const bool is_followed = chosen && chosen == m_relay;
    if (is_followed && time_until_overdue() > duration::zero()) {
        store_answer changes = poll(*chosen, request);
        if (changes.m_status != store_status::failed || m_cancelled) {
            return changes;
        }
        if (changes.m_why.m_code == reason_code::stale) {
            return watch_store(request); // what the relay knew last is old: no time for a search
        }
        failed_relay = chosen;
    }
    else if (is_followed) {
        decline_outdated(*chosen);
    }
    const duration search = std::min<duration>(m_options.m_timing.m_search, time_until_overdue());
    if (auto all = list_from_relays(request.m_after, search, failed_relay)) {
        all->m_is_complete_list = true;
        return std::move(*all);
    }
    return or_declined(watch_store(request));
}

void relayed_store::cancel()
{
    m_cancelled = true;
    m_direct->cancel();
    m_relays->cancel();
}

} // namespace pomelohead::discovery
