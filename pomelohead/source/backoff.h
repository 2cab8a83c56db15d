// How long to wait before the next try after failures.
//
// Exponential backoff with full jitter: the wait is uniform between zero and a
// bound that doubles with each failure, so that tries of many nodes that failed
// at the same moment spread over the whole interval.
//
//     backoff retry({.m_base = 200ms, .m_limit = 15s});
//     timers.after(retry.next(random), ...);   // after a failure
//     retry.reset();                           // after a success
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <random>

namespace pomelohead::source {

/// The bounds of a backoff.
struct backoff_options {
    milliseconds m_base{1'000};   ///< bound of the first wait
    milliseconds m_limit{15'000}; ///< no bound is above this

    bool operator==(const backoff_options&) const = default;
};

/// Exponential backoff with full jitter.
class backoff {
public:
    explicit backoff(backoff_options options) : m_options(options) {}

    /// The wait after one more failure.
    [[nodiscard]] duration next(std::mt19937_64& random);

    /// The bound of the next wait.
    [[nodiscard]] milliseconds bound() const;

    /// Counts no failures any more.
    void reset() { m_failures = 0; }

    [[nodiscard]] unsigned failures() const { return m_failures; }

private:
    backoff_options m_options;
    unsigned m_failures = 0;
};

} // namespace pomelohead::source
