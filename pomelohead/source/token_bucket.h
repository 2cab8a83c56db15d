// A token bucket rate limit.
//
// The bucket holds up to `capacity` tokens and gains `tokens_per_s`; each operation takes
// one. All reads of the configuration service share one bucket.
//
//     token_bucket reads(48, 2.0, timers.now());
//     if (reads.try_take(timers.now())) { read(); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

namespace pomelohead::source {

/// A token bucket that gets the time from the caller.
class token_bucket {
public:
    /// Starts full. `capacity` is at least 1, `tokens_per_s` positive.
    token_bucket(double capacity, double tokens_per_s, time_point now);

    /// Takes a token if one is available; returns whether it did.
    [[nodiscard]] bool try_take(time_point now);

    /// The time until a token is available; zero if one is now.
    [[nodiscard]] duration time_until_token(time_point now) const;

private:
    [[nodiscard]] double tokens_at(time_point now) const;

    double m_capacity;
    double m_tokens_per_s;
    double m_tokens;
    time_point m_updated_at;
};

} // namespace pomelohead::source
