#include "pomelohead/source/token_bucket.h"

#include <algorithm>

namespace pomelohead::source {
namespace {

using seconds_double = std::chrono::duration<double>;

// A level this close to a whole token counts as one, so that rounding of wait()
// to the clock's tick cannot make take() fail just after it.
constexpr double rounding = 1e-6;

} // namespace

token_bucket::token_bucket(double capacity, double tokens_per_s, time_point now)
    : m_capacity(capacity), m_tokens_per_s(tokens_per_s), m_level(capacity), m_at(now)
{
}

double token_bucket::level(time_point now) const
{
    const double gained = std::max(0.0, seconds_double(now - m_at).count()) * m_tokens_per_s;
    return std::min(m_capacity, m_level + gained);
}

bool token_bucket::take(time_point now)
{
    m_level = level(now);
    m_at = std::max(m_at, now);
    if (m_level + rounding < 1.0) {
        return false;
    }
    m_level = std::max(0.0, m_level - 1.0);
    return true;
}

duration token_bucket::wait(time_point now) const
{
    const double lacking = 1.0 - level(now);
    if (lacking <= rounding) {
        return duration::zero();
    }
    return std::chrono::ceil<duration>(seconds_double(lacking / m_tokens_per_s));
}

} // namespace pomelohead::source
