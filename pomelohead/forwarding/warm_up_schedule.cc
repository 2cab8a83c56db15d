// Each record_*() call keeps one fact; next() applies the rules of the header in their order.
#include "pomelohead/forwarding/warm_up_schedule.h"

#include <algorithm>
#include <utility>

namespace pomelohead::forwarding {
namespace {

// A target that restarts accepts connections after some 100 ms; until its answer it gets only the
// rate of a cold one.
constexpr duration min_pause = std::chrono::milliseconds(100);
constexpr duration max_pause = std::chrono::milliseconds(250);

// After so many queries without an answer the health page is taken not to work, and is queried as
// rarely as that of a warm target.
constexpr std::uint32_t max_quick_queries = 20;

// A target that turns cold in service is noticed within this time. With the rate of a cold target
// times this time, what starts meanwhile stays within the margin up to which a target works.
constexpr duration warm_period = std::chrono::seconds(1);

} // namespace

void warm_up_schedule::record_query(time_point now)
{
    m_is_urgent = false;
    m_had_started = std::exchange(m_has_started, false);
    m_asked_at = now;
    if (m_warm_at && *m_warm_at <= now) {
        m_warm_at.reset();
    }
}

void warm_up_schedule::record_answer(duration left, time_point now)
{
    m_ended_at = now;
    m_failures = 0;
    m_is_lost = false;
    m_warm_at = left > duration::zero() ? std::optional(now + left) : std::nullopt;
}

void warm_up_schedule::record_failure(query_failure kind, time_point now)
{
    m_ended_at = now;
    ++m_failures;
    m_latest_failure = kind;
    m_has_started = m_has_started || m_had_started;
    // A lost connection is a sign of a restart, unless the page loses each one.
    m_is_lost = kind == query_failure::lost && m_failures == 1;
}

time_point warm_up_schedule::next_attempt(time_point room_at) const
{
    duration pause = std::clamp(min_pause * m_failures, min_pause, max_pause);
    if (m_failures >= max_quick_queries) {
        pause = warm_period;
    }
    // A process that accepts no connection has taken no starts.
    return m_latest_failure == query_failure::unreachable ? m_ended_at + pause
                                                          : std::max(m_ended_at + pause, room_at);
}

std::optional<time_point> warm_up_schedule::next(const warm_up_view& view, time_point now) const
{
    if (!view.m_may_query) {
        return std::nullopt;
    }
    if (m_is_urgent) {
        // A target that is down gives a sign with each request.
        return m_failures == 0 ? now : m_ended_at + min_pause;
    }
    if (m_is_lost || (view.m_is_limited && !view.m_is_stated)) {
        return next_attempt(view.m_room_at);
    }
    if (m_warm_at) {
        return *m_warm_at;
    }
    if (m_has_started) {
        return m_asked_at + warm_period;
    }
    return std::nullopt;
}

} // namespace pomelohead::forwarding
