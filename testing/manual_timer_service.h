// A timer_service whose clock moves only when the test advances it.
//
//     manual_timer_service timers;
//     auto tick = timers.every(1s, [&] { ++ticks; });
//     timers.advance(3s);   // ticks == 3
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <map>

namespace pomelohead::testing {

/// Runs callbacks inside advance(), in order of their due times.
class manual_timer_service final : public timer_service {
public:
    [[nodiscard]] time_point now() const override { return m_now; }
    [[nodiscard]] timer_subscription after(duration delay, std::function<void()> callback) override;
    [[nodiscard]] timer_subscription every(duration period,
                                           std::function<void()> callback) override;

    /// Moves the clock forward by `step`, calling what falls due on the way.
    void advance(duration step);

    /// Moves the clock without calling anything until it has arrived, as a frozen
    /// process sees it; then calls what is overdue, periodic callbacks once.
    void freeze(duration step);

private:
    struct entry {
        time_point m_due;
        duration m_period{};
        std::function<void()> m_callback;
    };

    timer_subscription add(duration delay, duration period, std::function<void()> callback);
    void run_due(time_point until, bool frozen);

    time_point m_now{};
    std::uint64_t m_next_id = 1;
    std::map<std::uint64_t, entry> m_entries;
};

} // namespace pomelohead::testing
