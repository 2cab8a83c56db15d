// A limit on how often something may be done.
//
// The bucket holds up to `capacity` tokens and gains `tokens_per_s`; each use
// takes one. All reads of the configuration service pass one bucket.
//
//     token_bucket reads(48, 2.0, timers.now());
//     if (reads.take(timers.now())) { read(); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

namespace pomelohead::source {

/// A token bucket over times given by the caller.
class token_bucket {
public:
    /// Starts full. `capacity` is at least 1, `tokens_per_s` positive.
    token_bucket(double capacity, double tokens_per_s, time_point now);

    /// Takes a token if there is one.
    [[nodiscard]] bool take(time_point now);

    /// The time until a token is there; zero if there is one now.
    [[nodiscard]] duration wait(time_point now) const;

private:
    [[nodiscard]] double level(time_point now) const;

    double m_capacity;
    double m_tokens_per_s;
    double m_level;
    time_point m_at;
};

} // namespace pomelohead::source
