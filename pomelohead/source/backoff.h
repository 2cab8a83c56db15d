// Delays between retries: exponential backoff with full jitter.
//
// Each delay is uniform between zero and a bound that doubles with each failure, so
// that the retries of many nodes that failed at the same moment spread over the whole
// interval.
//
//     backoff retry({.m_initial_bound = 200ms, .m_max_bound = 15s});
//     timers.after(retry.next(random), ...);   // after a failure
//     retry.reset();                           // after a success
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <random>

namespace pomelohead::source {

/// Bounds of the delays.
struct backoff_options {
    milliseconds m_initial_bound{1'000}; ///< upper bound of the first delay
    milliseconds m_max_bound{15'000};    ///< maximum of the upper bound

    bool operator==(const backoff_options&) const = default;
};

/// State of one retry sequence.
class backoff {
public:
    explicit backoff(backoff_options options) : m_options(options) {}

    /// Records a failure and returns the delay before the next attempt.
    [[nodiscard]] duration next(std::mt19937_64& random);

    /// Upper bound of the delay that next() would return.
    [[nodiscard]] milliseconds bound() const;

    /// Ends the sequence after a success: the next delay has the initial bound.
    void reset() { m_failures = 0; }

    [[nodiscard]] unsigned failures() const { return m_failures; }

private:
    backoff_options m_options;
    unsigned m_failures = 0;
};

} // namespace pomelohead::source
