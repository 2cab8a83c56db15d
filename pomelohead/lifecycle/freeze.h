// Notices that the process was frozen: paused for longer than its timers allow.
//
// A frozen process wakes up believing what was true before. The detector is told
// the time on every tick and before every step that cannot be taken back (a
// hand-over); a gap longer than the limit means that queued work is judged
// again and that membership and drain words count as old until confirmed.
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

/// Watches the gaps between observations.
class freeze_detector {
public:
    /// A gap above `limit` is a freeze. `limit` should be several tick periods.
    freeze_detector(duration limit, time_point now) : m_limit(limit), m_last(now) {}

    /// The gap's length if the process was frozen since the last observation.
    /// From then on is_confirmed() is false.
    std::optional<duration> observe(time_point now);

    /// Another party has confirmed what this process believes.
    void confirm() { m_confirmed = true; }

    /// Whether what the process believed before its last freeze was confirmed since.
    [[nodiscard]] bool is_confirmed() const { return m_confirmed; }

    /// The number of freezes seen.
    [[nodiscard]] std::uint64_t freezes() const { return m_freezes; }

private:
    duration m_limit;
    time_point m_last;
    bool m_confirmed = true;
    std::uint64_t m_freezes = 0;
};

} // namespace pomelohead::lifecycle
