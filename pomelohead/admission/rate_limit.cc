#include "pomelohead/admission/rate_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pomelohead::admission {
namespace {

using seconds = std::chrono::duration<double>;

// Below the precision that is lost when tokens are added in many steps.
constexpr double token_tolerance = 1e-6;

} // namespace

double rate_limit::tokens(time_point now) const
{
    const double burst = std::max(1.0, *m_rate * seconds(burst_time).count());
    return std::min(burst, m_tokens + *m_rate * seconds(now - m_tokens_at).count());
}

void rate_limit::record_answer(std::optional<double> max_rate, time_point handed_over,
                               time_point now)
{
    if (!max_rate) {
        if (handed_over > m_stated_at) {
            m_rate.reset();
        }
        return;
    }
    m_tokens = m_rate ? tokens(now) : 0; // what ran before the statement is not counted
    m_tokens_at = now;
    m_rate = std::max(*max_rate, min_rate);
    m_stated_at = now;
}

void rate_limit::record_start(time_point now)
{
    if (m_rate) {
        m_tokens = tokens(now) - 1;
        m_tokens_at = now;
    }
}

std::uint32_t rate_limit::available(time_point now) const
{
    if (!m_rate) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(tokens(now) + token_tolerance)));
}

duration rate_limit::time_until(std::uint32_t count, time_point now) const
{
    if (available(now) >= count) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(seconds((count - tokens(now)) / *m_rate));
}

} // namespace pomelohead::admission
