// The spread and the bounds of the retry times that an owner states.
//
//     const auto wait = std::chrono::ceil<milliseconds>(backlog * retry_jitter(facts.m_id));
//     return std::clamp(wait, min_retry_after, max_retry_after);
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>

namespace pomelohead::admission {

inline constexpr milliseconds min_retry_after{100};
inline constexpr milliseconds max_retry_after{10'000};

/// Returns 1.0 to 2.0, a factor that spreads the retries of callers refused at the same time.
[[nodiscard]] inline double retry_jitter(std::uint64_t id)
{
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15;
    constexpr std::uint64_t steps = 1024;
    return 1.0 + static_cast<double>((id * golden_ratio >> 32) % steps) / steps;
}

} // namespace pomelohead::admission
