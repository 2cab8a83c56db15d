// Events in the order of a virtual clock.
//
//     event_queue events;
//     events.at(start + 3ms, [&] { arrive(); });
//     while (events.run_next(end)) {}
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace pomelohead::bench {

/// Runs callbacks at their times; equal times run in the order of insertion.
class event_queue {
public:
    [[nodiscard]] time_point now() const { return m_now; }

    void at(time_point due, std::function<void()> action)
    {
        m_events.push({std::max(due, m_now), m_next_sequence++, std::move(action)});
    }

    /// Runs the next event that is due before `end`; false: there is none.
    bool run_next(time_point end)
    {
        if (m_events.empty() || m_events.top().m_due >= end) {
            return false;
        }
        const std::function<void()> action = std::move(const_cast<event&>(m_events.top()).m_action);
        m_now = m_events.top().m_due;
        m_events.pop();
        action();
        return true;
    }

private:
    struct event {
        time_point m_due;
        std::uint64_t m_sequence = 0;
        std::function<void()> m_action;

        bool operator<(const event& other) const
        {
            return m_due != other.m_due ? m_due > other.m_due : m_sequence > other.m_sequence;
        }
    };
    time_point m_now{};
    std::uint64_t m_next_sequence = 0;
    std::priority_queue<event> m_events;
};

} // namespace pomelohead::bench
