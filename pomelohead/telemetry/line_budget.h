// How many log lines about requests a node writes.
//
// Under load each request may be refused by several nodes, and a line for each would cost
// more than the refusals. Lines beyond the budget are dropped and counted; the next line
// that is written says how many are missing before it.
//
//     line_budget budget;
//     if (budget.take(now)) { write(line, budget.take_dropped()); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace pomelohead {

/// A token bucket for lines.
class line_budget {
public:
    /// Lines a second. A line takes some 20 us of a core, so that they stay below a
    /// hundredth of a host that has a tenth of one.
    static constexpr double lines_per_s = 50;
    /// Lines that a quiet node may write at once.
    static constexpr double burst = 200;

    /// Takes one line's place; false: it is dropped, and counted.
    [[nodiscard]] bool take(time_point now)
    {
        const double passed_s = std::chrono::duration<double>(now - m_last).count();
        m_tokens = std::min(burst, m_tokens + std::max(0.0, passed_s) * lines_per_s);
        m_last = std::max(m_last, now);
        if (m_tokens < 1) {
            drop();
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    /// Counts a line that is not written for another reason.
    void drop()
    {
        ++m_dropped;
        ++m_dropped_in_all;
    }

    /// Lines dropped since the last call.
    [[nodiscard]] std::uint64_t take_dropped() { return std::exchange(m_dropped, 0); }

    [[nodiscard]] std::uint64_t dropped_in_all() const { return m_dropped_in_all; }

private:
    double m_tokens = burst;
    time_point m_last{};
    std::uint64_t m_dropped = 0;
    std::uint64_t m_dropped_in_all = 0;
};

} // namespace pomelohead
