// Limits extra attempts to a share of the calls that succeed.
//
// Each success adds a fraction of an attempt, up to a cap; a small rate per second lets an entry
// with little traffic retry at all. An attempt for a call at depth `depth` of its call chain
// costs 1 + depth, because every level above may retry as well. The extra attempts at the last
// level of a chain then stay near the share times the logarithm of the chain's length, instead
// of growing exponentially with the length.
//
//     retry_budget retries(0.02, 0.1, 20);
//     retries.record_success(now);
//     if (retries.try_take(now, call.m_depth)) { send_again(); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>

namespace pomelohead::routing {

/// A token bucket that is refilled by successful calls.
class retry_budget {
public:
    /// `share_of_successes` is the number of attempts per success, `floor_per_s` the number per
    /// second without any, `cap` the maximum accumulated, `initial` the number at the start.
    retry_budget(double share_of_successes, double floor_per_s, double cap, double initial = 1);

    /// Takes one attempt. Returns false if that would use tokens from `reserved_share`, the share
    /// of the cap that is reserved for more urgent calls.
    [[nodiscard]] bool try_take(time_point now, std::uint32_t depth = 0, double reserved_share = 0);

    /// Returns whether try_take() would succeed.
    [[nodiscard]] bool can_take(time_point now, std::uint32_t depth = 0, double reserved_share = 0);

    void record_success(time_point now);

private:
    void refill(time_point now);

    double m_tokens_per_success;
    double m_floor_per_s;
    double m_cap;
    double m_tokens;
    time_point m_last_refill{};
    bool m_has_last_refill = false;
};

} // namespace pomelohead::routing
