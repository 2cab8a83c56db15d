// The number of a target's slots that long work may use.
//
// Long work cannot be interrupted and runs as long as many short requests, so a slot that
// it uses is unavailable to short work for all that time. Slots are therefore reserved for
// the average load of short work, queued requests included, and at least a fixed minimum;
// long work gets the rest. The limit is usually fractional and is met on average, by
// running one more long request at some times than at others. There is no extra margin on
// each target: entries route short work to targets with free slots, which pools the
// capacity.
//
//     long_work_limit limit(options);
//     limit.observe(short_now, long_now, now);
//     if (limit.allows(long_now, slots)) { ... }
#pragma once

#include "pomelohead/admission/options.h"

#include <cstdint>

namespace pomelohead::admission {

/// Averages the load of both classes of work and computes the limit for long work.
class long_work_limit {
public:
    explicit long_work_limit(const admission_options& options) : m_options(options) {}

    /// Sets the load from `now` on: short requests running or queued, long requests running.
    void observe(std::uint32_t short_load, std::uint32_t running_long, time_point now);

    /// Whether one more long request may start while `running_long` others run.
    [[nodiscard]] bool allows(std::uint32_t running_long, std::uint32_t slots) const;

    /// Whether long work has recently used less than m_long_floor slots, so that it starts
    /// before short work.
    [[nodiscard]] bool is_below_floor() const;

    /// The average number of slots that long work may use.
    [[nodiscard]] double average_limit(std::uint32_t slots) const;

private:
    admission_options m_options;
    time_point m_last{};
    std::uint32_t m_short_load = 0;
    std::uint32_t m_running_long = 0;
    double m_average_short = 0;
    double m_average_long = 0;
};

} // namespace pomelohead::admission
