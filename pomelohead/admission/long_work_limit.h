// How many of a target's slots long work may hold.
//
// Long work cannot be interrupted and outlasts many short requests, so a slot that
// it takes is gone for their purposes. Short work therefore keeps its average load,
// queued requests included, and never less than a fixed reserve; long work gets the
// rest. The rest is seldom a whole number: the limit is kept on average, by running
// one request more at some times than at others. No margin is added on each target:
// entries send short work to the targets that have room, which pools them.
//
//     long_work_limit limit(options);
//     limit.observe(short_now, long_now, now);
//     if (limit.allows(long_now, slots)) { ... }
#pragma once

#include "pomelohead/admission/options.h"

#include <cstdint>

namespace pomelohead::admission {

/// Follows the load of both classes of work and derives the limit.
class long_work_limit {
public:
    explicit long_work_limit(const admission_options& options) : m_options(options) {}

    /// Tells the load from `now` on: short requests running or queued, long ones running.
    void observe(std::uint32_t short_load, std::uint32_t running_long, time_point now);

    /// Whether one more long request may start beside `running_long` others.
    [[nodiscard]] bool allows(std::uint32_t running_long, std::uint32_t slots) const;

    /// Whether long work has had less than its floor, so that it goes before short work.
    [[nodiscard]] bool is_below_floor() const;

    /// The average number of slots that long work may hold.
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
