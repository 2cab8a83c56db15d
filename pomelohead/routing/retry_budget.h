// Bounds extra attempts to a share of the calls that succeed.
//
// Each success earns a fraction of an attempt, up to a cap; a small floor per second
// lets a quiet entry retry at all. An attempt for a call that stands `depth` levels
// down its chain costs 1 + depth, because every level above may retry as well: over
// a chain of any length the extra attempts at the bottom stay near the share times
// the logarithm of the length instead of growing with its power.
//
//     retry_budget retries(0.02, 0.1, 20);
//     retries.success(now);
//     if (retries.take(now, call.m_depth)) { send_again(); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>

namespace pomelohead::routing {

/// A token bucket that successes fill.
class retry_budget {
public:
    /// Attempts per success, attempts per second without any, the most saved up,
    /// and what is there at first.
    retry_budget(double share_of_successes, double floor_per_s, double cap, double initial = 1);

    /// Takes one attempt; false: none is left beyond `reserved_share`, a share of the cap
    /// that stays for more urgent calls.
    [[nodiscard]] bool try_take(time_point now, std::uint32_t depth = 0, double reserved_share = 0);

    /// Whether take() would succeed.
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
