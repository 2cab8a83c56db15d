// When an owner asks its target's health page whether the target warms up.
//
// A cold target that gets the load of a warm one fails, and a warm one that is taken for cold loses
// load. A restart may go unseen, registrations arrive seconds late, and each health query takes a
// slot of the target. So the schedule asks
//
// - at once when the target may have restarted, and then with a short pause until it responds, as
//   far as the rate allows if it has taken the query before,
// - once when the time that the target has stated is over,
// - at most once a second while the target is warm and requests start there,
// - never if the target gets no requests or its service states no rate.
//
// The class does no I/O and reads no clock.
//
//     warm_up_schedule schedule;
//     schedule.record_suspicion();
//     const auto due = schedule.next({.m_may_query = true, .m_is_limited = true}, now);
//     if (due && *due <= now) { schedule.record_query(now); ask(); }
//     ...
//     schedule.record_answer(1500ms, now);
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <optional>

namespace pomelohead::forwarding {

/// What the schedule depends on besides its own history.
struct warm_up_view {
    /// The target may get requests, and its service states a rate and a health path.
    bool m_may_query = false;
    bool m_is_stated = false;  ///< the target's state is known from its own statement
    bool m_is_limited = false; ///< it warms up, or is assumed to
    /// When the limit next has room for a query, which counts as a start.
    time_point m_room_at{};

    bool operator==(const warm_up_view&) const = default;
};

/// How a query without a usable answer ended.
enum class query_failure {
    unreachable, ///< the target accepts no connection
    unanswered,  ///< no response in time, or one that says nothing
    lost,        ///< the connection ended before the response
};

/// Decides when to send the next health query of one target.
class warm_up_schedule {
public:
    /// Records a sign that the target has restarted: what it stated may be out of date.
    void record_suspicion() { m_is_urgent = true; }

    /// Records that a request starts at the target.
    void record_start() { m_has_started = true; }

    void record_query(time_point now);

    /// Records the answer to the latest query; `left`: the warm-up that it states.
    void record_answer(duration left, time_point now);

    void record_failure(query_failure kind, time_point now);

    /// Returns when to send a query, perhaps in the past; nullopt: not before something is recorded
    /// or the view changes. Not to be called while a query is in progress.
    [[nodiscard]] std::optional<time_point> next(const warm_up_view& view, time_point now) const;

private:
    [[nodiscard]] time_point next_attempt(time_point room_at) const;

    bool m_is_urgent = false;
    bool m_has_started = false; ///< since the latest query that was answered
    bool m_had_started = false; ///< m_has_started before the query in progress
    query_failure m_latest_failure = query_failure::unanswered;
    bool m_is_lost = false;              ///< the latest query lost its connection
    std::uint32_t m_failures = 0;        ///< since the latest answer
    time_point m_asked_at{};             ///< of the latest query
    time_point m_ended_at{};             ///< of the latest query
    std::optional<time_point> m_warm_at; ///< the end of the stated warm-up, not yet confirmed
};

} // namespace pomelohead::forwarding
