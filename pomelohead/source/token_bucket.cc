#include "pomelohead/source/token_bucket.h"

#include <algorithm>

namespace pomelohead::source {
namespace {

using seconds_double = std::chrono::duration<double>;

// A bucket this close to a whole token counts as holding it, so that rounding of
// time_until_token() to the clock's resolution cannot make a try_take() after it fail.
constexpr double rounding_tolerance = 1e-6;

} // namespace

token_bucket::token_bucket(double capacity, double tokens_per_s, time_point now)
    : m_capacity(capacity), m_tokens_per_s(tokens_per_s), m_tokens(capacity), m_updated_at(now)
{
}

double token_bucket::tokens_at(time_point now) const
{
    const double gained =
        std::max(0.0, seconds_double(now - m_updated_at).count()) * m_tokens_per_s;
    return std::min(m_capacity, m_tokens + gained);
}

bool token_bucket::try_take(time_point now)
{
    m_tokens = tokens_at(now);
    m_updated_at = std::max(m_updated_at, now);
    if (m_tokens + rounding_tolerance < 1.0) {
        return false;
    }
    m_tokens = std::max(0.0, m_tokens - 1.0);
    return true;
}

duration token_bucket::time_until_token(time_point now) const
{
    const double missing_tokens = 1.0 - tokens_at(now);
    if (missing_tokens <= rounding_tolerance) {
        return duration::zero();
    }
    return std::chrono::ceil<duration>(seconds_double(missing_tokens / m_tokens_per_s));
}

} // namespace pomelohead::source
