// Detects that the process was frozen: paused for longer than its timers allow.
//
// After a freeze the process still holds the state from before it. The detector
// observes the time on every tick and before every irreversible step (a hand-over).
// After a gap longer than the limit, queued requests are checked again, and membership
// and drain state count as stale until confirmed.
//
//     freeze_detector detector(1s, timers.now());
//     auto tick = timers.every(100ms, [&] { detector.observe(timers.now()); });
//     ...
//     if (detector.observe(now)) { recheck_queued_requests(); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <optional>

namespace pomelohead::lifecycle {

/// Detects freezes by the gap between two observations.
class freeze_detector {
public:
    /// A gap above `limit` is a freeze. `limit` should be several tick periods.
    freeze_detector(duration limit, time_point now) : m_limit(limit), m_last(now) {}

    /// Records `now`. Returns the gap's length if the process was frozen since the last
    /// observation. From then on is_confirmed() is false.
    std::optional<duration> observe(time_point now);

    /// Records that another node confirmed this process's state.
    void confirm() { m_confirmed = true; }

    /// Whether the state held before the last freeze has been confirmed since.
    [[nodiscard]] bool is_confirmed() const { return m_confirmed; }

    /// The number of freezes detected.
    [[nodiscard]] std::uint64_t freezes() const { return m_freezes; }

private:
    duration m_limit;
    time_point m_last;
    bool m_confirmed = true;
    std::uint64_t m_freezes = 0;
};

} // namespace pomelohead::lifecycle
