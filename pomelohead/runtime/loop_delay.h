// How late a process comes to its work, from the lateness of a periodic timer.
//
// A host that has too little processor time reads requests and responses late. It knows this before
// others can measure it, and states it in its load reports, so that entries place requests
// elsewhere until it has caught up.
//
//     loop_delay delay(timers);
//     delay.value();   // about 0 ms; 150 ms on a process that gets to run each 300 ms
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <algorithm>

namespace pomelohead {

/// Exponentially weighted mean of a timer's lateness.
class loop_delay {
public:
    /// `timers` must outlive the object.
    explicit loop_delay(timer_service& timers)
        : m_timers(timers), m_last(timers.now()),
          m_timer(timers.every(period, [this] { sample(); }))
    {
    }
    loop_delay(const loop_delay&) = delete;
    loop_delay& operator=(const loop_delay&) = delete;

    /// The mean, or the lateness of the next sample if that is overdue by more.
    [[nodiscard]] duration value() const
    {
        return std::max(m_mean, m_timers.now() - m_last - period);
    }

private:
    // Five samples a second cost nothing that can be measured; two of them show a lasting delay.
    static constexpr duration period = std::chrono::milliseconds(200);
    static constexpr double gain = 0.5; ///< weight of the latest sample

    void sample()
    {
        const time_point now = m_timers.now();
        const duration lateness = std::max<duration>(now - m_last - period, duration::zero());
        m_mean += std::chrono::duration_cast<duration>((lateness - m_mean) * gain);
        m_last = now;
    }

    timer_service& m_timers;
    time_point m_last;
    duration m_mean{};
    timer_subscription m_timer;
};

} // namespace pomelohead
