// Time, as every part of the node sees it.
//
// Parts never read a clock or sleep by themselves: they ask a timer_service for
// the time and subscribe callbacks to it. Production code uses
// asio_timer_service; tests use testing::manual_timer_service, whose clock moves
// only when the test says so.
//
//     timer_subscription tick = timers.every(1s, [this] { send_heartbeat(); });
//     ...
//     tick.cancel();   // or let it go out of scope
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace pomelohead {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using duration = clock_type::duration;
using std::chrono::milliseconds;

/// Owns one subscription to a timer_service; destroying it cancels the callback.
class timer_subscription {
public:
    timer_subscription() = default;
    explicit timer_subscription(std::function<void()> cancel) : m_cancel(std::move(cancel)) {}
    timer_subscription(timer_subscription&& other) noexcept
        : m_cancel(std::exchange(other.m_cancel, nullptr))
    {
    }
    timer_subscription& operator=(timer_subscription&& other) noexcept
    {
        if (this != &other) {
            cancel();
            m_cancel = std::exchange(other.m_cancel, nullptr);
        }
        return *this;
    }
    timer_subscription(const timer_subscription&) = delete;
    timer_subscription& operator=(const timer_subscription&) = delete;
    ~timer_subscription() { cancel(); }

    /// Stops the callback from being called again. Idempotent.
    void cancel()
    {
        if (m_cancel) {
            std::exchange(m_cancel, nullptr)();
        }
    }

private:
    std::function<void()> m_cancel;
};

/// The clock and the timers of one process.
class timer_service {
public:
    timer_service() = default;
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;
    virtual ~timer_service() = default;

    /// The monotonic time now.
    [[nodiscard]] virtual time_point now() const = 0;

    /// Calls `callback` once, `delay` from now. The callback must not block;
    /// work that waits belongs in a fiber that it starts.
    [[nodiscard]] virtual timer_subscription after(duration delay,
                                                   std::function<void()> callback) = 0;

    /// Calls `callback` every `period`, first one period from now.
    [[nodiscard]] virtual timer_subscription every(duration period,
                                                   std::function<void()> callback) = 0;
};

} // namespace pomelohead
