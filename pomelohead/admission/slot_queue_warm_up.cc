// The part of slot_queue that limits the starts at a target that warms up. The limit has room for
// each queued request, so that whatever gets a slot may start. When it loses room, the requests
// that would start last are displaced: at another target, or later, they may be served sooner.
#include "pomelohead/admission/retry_jitter.h"
#include "pomelohead/admission/slot_queue.h"

#include <algorithm>

namespace pomelohead::admission {

void slot_queue::configure_warm_up(double rate, duration time)
{
    const std::uint32_t old_room = m_warm_up.room();
    const duration old_window = m_warm_up.window();
    m_warm_up.configure(rate, time);
    if (m_warm_up.room() != old_room || m_warm_up.window() != old_window) {
        m_rank_reserve = rank_reserve(m_warm_up.room(), m_warm_up.window());
    }
    displace_over_rate(m_now);
}

void slot_queue::record_possible_restart(time_point now)
{
    advance(now);
    m_warm_up.record_possible_restart(now);
    displace_over_rate(now);
}

void slot_queue::record_warm_up_statement(duration left, time_point asked_at,
                                          time_point answered_at)
{
    advance(std::max(asked_at, answered_at));
    m_warm_up.record_statement(left, asked_at, std::max(answered_at, m_now));
    displace_over_rate(m_now);
}

void slot_queue::plan_warm_up_probe(time_point now)
{
    advance(now);
    m_is_probe_planned = true;
    displace_over_rate(now);
}

void slot_queue::record_warm_up_probe(time_point now)
{
    advance(now);
    m_is_probe_planned = false;
    m_warm_up.record_start(now);
    displace_over_rate(now);
}

// Returns how many requests may start by the rates, queued ones included.
std::uint32_t slot_queue::startable(time_point now) const
{
    std::uint32_t room = m_warm_up.available(now);
    if (m_is_probe_planned && room > 0 && m_warm_up.is_limiting(now)) {
        --room;
    }
    return std::min(m_rate_limit.available(now), room);
}

void slot_queue::displace_over_rate(time_point now)
{
    const std::uint32_t room = startable(now);
    while (queued() > room) {
        const auto last = last_to_start(std::nullopt);
        if (m_warm_up.is_limiting(now)) {
            m_rank_reserve.record_refusal(last->m_facts.m_urgency, now);
        }
        displace(last);
    }
}

void slot_queue::record_warm_up_start(const request_facts& facts, time_point now)
{
    m_warm_up.record_start(now);
    if (m_warm_up.is_limiting(now)) {
        m_rank_reserve.record_start(facts.m_urgency, now);
    }
}

std::optional<decision> slot_queue::refuse_by_warm_up(const request_facts& facts, time_point now)
{
    if (!m_warm_up.is_limiting(now)) {
        return std::nullopt;
    }
    const std::uint32_t room = startable(now);
    const std::uint32_t left = room > queued() ? room - queued() : 0;
    const bool is_second_attempt = facts.m_queueing == queueing::spare_only;
    if (!is_second_attempt && m_rank_reserve.may_start(facts.m_urgency, left, now)) {
        return std::nullopt;
    }
    const milliseconds retry = warm_up_retry_after(facts.m_id, facts.m_urgency);
    const char* why = "the target warms up and takes no more requests yet";
    if (is_second_attempt) {
        why = "the target warms up and takes no second attempts";
    }
    else {
        m_rank_reserve.record_refusal(facts.m_urgency, now);
        if (left > 0) {
            why = "the target warms up and its room is kept for other urgencies";
        }
    }
    return decision{verdict::refused, {reason_code::rate_limited, why}, retry};
}

// Returns the time until one more request may start than those queued and the planned health
// request. If these use the whole room, the next is free a window after them.
duration slot_queue::warm_up_wait(time_point now) const
{
    const std::optional<time_point> end = m_warm_up.limits_until(now);
    if (!end) {
        return duration::zero();
    }
    const std::uint32_t ahead = queued() + (m_is_probe_planned ? 1 : 0);
    const duration wait = m_warm_up.time_until(ahead % m_warm_up.room() + 1, now) +
                          m_warm_up.window() * (ahead / m_warm_up.room());
    return std::min(wait, *end - now);
}

// The time at which there is room behind the requests that were refused in the latest window, and
// never before a start is free.
milliseconds slot_queue::warm_up_retry_after(std::uint64_t id, config::urgency urgency) const
{
    const std::optional<time_point> end = m_warm_up.limits_until(m_now);
    if (!end) {
        return milliseconds::zero();
    }
    const duration next_free = warm_up_wait(m_now);
    const duration wait =
        std::min(next_free + m_rank_reserve.wait_behind_refused(urgency, m_now), *end - m_now);
    const auto retry = std::chrono::ceil<milliseconds>(wait * retry_jitter(id));
    return std::max(std::clamp(retry, min_retry_after, max_retry_after),
                    std::chrono::ceil<milliseconds>(next_free));
}

} // namespace pomelohead::admission
