// A target's own limit on the rate of its requests, kept by its owner.
//
// A target in need states in its answers how many requests a second it takes from all nodes
// together, for as long as its answers say so. All requests for a target pass through its owner,
// so the owner alone keeps the limit, and the entries need not tell each other what they send.
//
// The latest statement counts. It ends with an answer without one, to a request that was handed
// over after the latest statement: other answers may be older than it.
//
//     rate_limit limit;
//     limit.record_answer(31.5, handed_over, now);
//     if (limit.available(now) > 0) { limit.record_start(now); hand_over(); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <optional>

namespace pomelohead::admission {

/// A token bucket whose rate the target states.
class rate_limit {
public:
    /// What the bucket holds at most, as time at the stated rate.
    static constexpr milliseconds burst_time{250};
    /// Requests a second that start whatever the target states: without requests there are no
    /// answers, and the end of the limit would not be noticed.
    static constexpr double min_rate = 0.5;

    /// Records an answer to a request that was handed over at `handed_over`; `max_rate` is the
    /// number of requests a second that it states, if it does.
    void record_answer(std::optional<double> max_rate, time_point handed_over, time_point now);

    /// Records that a request is handed to the target.
    void record_start(time_point now);

    /// The rate that the target states at present, in requests a second.
    [[nodiscard]] std::optional<double> stated_rate() const { return m_rate; }

    /// Returns how many requests may start now; the maximum of the type without a limit.
    [[nodiscard]] std::uint32_t available(time_point now) const;

    /// Returns the time until available() is `count`, if none starts before; zero without a limit.
    [[nodiscard]] duration time_until(std::uint32_t count, time_point now) const;

private:
    [[nodiscard]] double tokens(time_point now) const;

    std::optional<double> m_rate; ///< requests a second
    time_point m_stated_at{};
    double m_tokens = 0; ///< at m_tokens_at
    time_point m_tokens_at{};
};

} // namespace pomelohead::admission
