#include "pomelohead/routing/retry_budget.h"

#include <algorithm>

namespace pomelohead::routing {

retry_budget::retry_budget(double share_of_successes, double floor_per_s, double cap,
                           double initial)
    : m_tokens_per_success(share_of_successes), m_floor_per_s(floor_per_s), m_cap(cap),
      m_tokens(std::min(initial, cap))
{
}

void retry_budget::refill(time_point now)
{
    if (m_has_last_refill && now > m_last_refill) {
        const std::chrono::duration<double> elapsed = now - m_last_refill;
        m_tokens = std::min(m_cap, m_tokens + elapsed.count() * m_floor_per_s);
    }
    m_last_refill = m_has_last_refill ? std::max(m_last_refill, now) : now;
    m_has_last_refill = true;
}

bool retry_budget::can_take(time_point now, std::uint32_t depth, double reserved_share)
{
    refill(now);
    return m_tokens - reserved_share * m_cap >= 1.0 + depth;
}

bool retry_budget::try_take(time_point now, std::uint32_t depth, double reserved_share)
{
    if (!can_take(now, depth, reserved_share)) {
        return false;
    }
    m_tokens -= 1.0 + depth;
    return true;
}

void retry_budget::record_success(time_point now)
{
    refill(now);
    m_tokens = std::min(m_cap, m_tokens + m_tokens_per_success);
}

} // namespace pomelohead::routing
