// The rate that a target takes while it warms up, kept by its owner.
//
// A service may state that its targets warm up for some time after their start, and how many
// requests a second a target takes meanwhile from all nodes together. All requests for a target
// pass through its owner, so the owner alone keeps the rate, and no messages are needed. In no
// second do more requests start than the rate allows; starts before the warm-up was known count.
//
// The load that it answers: a target that starts cold is offered several times what it can take, so
// that it crashes and starts cold again.
//
// A target whose state is unknown is taken to warm up until it states otherwise: after the owner's
// start, after the target's process has ended or may have been replaced, and after an evacuation.
// Without a statement that lasts for the warm-up time.
//
//     warm_up_limit limit(owner_started);
//     limit.configure(8.8, 3s);
//     limit.record_possible_restart(now);
//     if (limit.available(now) > 0) { limit.record_start(now); hand_over(); }
//     limit.record_statement(1500ms, asked_at, answered_at);   // the target's own answer
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace pomelohead::admission {

/// Limits the requests that start in any one second while a target warms up.
class warm_up_limit {
public:
    /// Requests that are started more than this apart beyond the period of the rate also arrive in
    /// separate periods: the time to hand one over varies, most where it needs a new connection.
    static constexpr milliseconds delivery_variation{20};

    /// `counted_since`: an owner before this one may have started requests until then.
    explicit warm_up_limit(time_point counted_since = {}) : m_counted_since(counted_since) {}

    /// Sets what the service states, in requests a second; 0: no limit. After a change, the starts
    /// until now are taken to have used the room of the new rate.
    void configure(double rate, duration warm_up_time);

    /// Records that the target's process has ended, has started or may have been replaced.
    void record_possible_restart(time_point now);

    /// Records how much longer the target warms up by its own statement; zero: it does not. A
    /// statement that was asked for before the latest possible restart, or before another one that
    /// has been recorded, is ignored. `left` counts from `answered_at`, or from `asked_at` if that
    /// is later or the time of the answer is not known.
    void record_statement(duration left, time_point asked_at, time_point answered_at = {});

    /// Records that a request is handed to the target, at any time.
    void record_start(time_point now);

    /// Whether the service states a rate.
    [[nodiscard]] bool is_configured() const { return m_rate > 0; }

    /// Whether the target has stated its warm-up since the latest possible restart.
    [[nodiscard]] bool is_stated() const { return m_is_stated; }

    /// Whether the rate limits the target now.
    [[nodiscard]] bool is_limiting(time_point now) const;

    /// The end of the limit; nullopt if it does not limit now.
    [[nodiscard]] std::optional<time_point> limits_until(time_point now) const;

    /// Returns how many requests may start now; the maximum of the type without a limit.
    [[nodiscard]] std::uint32_t available(time_point now) const;

    /// Returns the time until available() is at least `count`, if none starts before; zero without
    /// a limit. More than room() is available only when the limit ends.
    [[nodiscard]] duration time_until(std::uint32_t count, time_point now) const;

    /// How many requests may start within window(); at least 1.
    [[nodiscard]] std::uint32_t room() const;

    /// The period that starts are counted over: a second, or the time per start of a rate below one
    /// a second, and the delivery variation.
    [[nodiscard]] duration window() const;

private:
    [[nodiscard]] time_point end() const;

    double m_rate = 0; ///< requests a second
    duration m_warm_up_time{};
    time_point m_counted_since; ///< until then the room is taken to be used; zero: never
    time_point m_possible_restart{};
    time_point m_asked_at{};     ///< of the latest statement
    time_point m_stated_until{}; ///< by the latest statement
    bool m_is_stated = false;
    time_point m_last_start{};
    std::deque<time_point> m_starts; ///< the latest room() ones at most, ascending
};

} // namespace pomelohead::admission
