// Marc Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015, compares
// full jitter with other kinds of jitter.
#include "pomelohead/source/backoff.h"

#include <algorithm>

namespace pomelohead::source {
namespace {

// 2^20 times any initial bound in use exceeds its maximum and does not overflow.
constexpr unsigned max_doublings = 20;

} // namespace

milliseconds backoff::bound() const
{
    const auto factor = std::int64_t{1} << std::min(m_failures, max_doublings);
    return std::min(m_options.m_max_bound, m_options.m_initial_bound * factor);
}

duration backoff::next(std::mt19937_64& random)
{
    std::uniform_int_distribution<std::int64_t> wait(0, bound().count());
    ++m_failures;
    return milliseconds(wait(random));
}

} // namespace pomelohead::source
