// Whether a target has said in an answer that it leaves.
//
// A target that leaves does not come back; only another start of it does. Owner and entries each
// keep a mark of their own, so that one that restarts does not make the others use the target
// again.
//
//     leaving_mark mark;
//     mark.record(target.m_started_ms, now);
//     mark.holds(target.m_started_ms, now);   // true until the registration names another start
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <optional>

namespace pomelohead::routing {

class leaving_mark {
public:
    /// How long the mark of a target without a known start time holds: after it, a request shows
    /// whether the target still leaves.
    static constexpr milliseconds unknown_start_hold{30'000};

    /// After this time the target has ended, and the mark may be dropped.
    static constexpr std::chrono::hours max_departure{1};

    /// `started_ms`: Unix time of the target's start in milliseconds; 0 if it is not known.
    void record(std::int64_t started_ms, time_point now)
    {
        m_started_ms = started_ms;
        m_recorded_at = now;
    }

    [[nodiscard]] bool holds(std::int64_t started_ms, time_point now) const
    {
        return m_started_ms == started_ms &&
               (started_ms != 0 || now - m_recorded_at < unknown_start_hold);
    }

    [[nodiscard]] bool is_outdated(time_point now) const
    {
        return now - m_recorded_at > max_departure;
    }

private:
    std::optional<std::int64_t> m_started_ms;
    time_point m_recorded_at{};
};

} // namespace pomelohead::routing
