#include "pomelohead/routing/retry_budget.h"

#include <algorithm>

namespace pomelohead::routing {

retry_budget::retry_budget(double share_of_successes, double floor_per_s, double cap,
                           double initial)
    : m_share(share_of_successes), m_floor_per_s(floor_per_s), m_cap(cap),
      m_tokens(std::min(initial, cap))
{
}

void retry_budget::refill(time_point now)
{
    if (m_started && now > m_last) {
        const std::chrono::duration<double> elapsed = now - m_last;
        m_tokens = std::min(m_cap, m_tokens + elapsed.count() * m_floor_per_s);
    }
    m_last = m_started ? std::max(m_last, now) : now;
    m_started = true;
}

bool retry_budget::has(time_point now, std::uint32_t depth, double kept)
{
    refill(now);
    return m_tokens - kept * m_cap >= 1.0 + depth;
}

bool retry_budget::take(time_point now, std::uint32_t depth, double kept)
{
    if (!has(now, depth, kept)) {
        return false;
    }
    m_tokens -= 1.0 + depth;
    return true;
}

void retry_budget::success(time_point now)
{
    refill(now);
    m_tokens = std::min(m_cap, m_tokens + m_share);
}

} // namespace pomelohead::routing
