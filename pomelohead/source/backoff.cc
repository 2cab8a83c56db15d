// Full jitter as compared with other kinds in Marc Brooker, "Exponential Backoff
// and Jitter", AWS Architecture Blog, 2015.
#include "pomelohead/source/backoff.h"

#include <algorithm>

namespace pomelohead::source {
namespace {

// 2^20 times any base is above every limit in use, and does not overflow.
constexpr unsigned max_doublings = 20;

} // namespace

milliseconds backoff::bound() const
{
    const auto factor = std::int64_t{1} << std::min(m_failures, max_doublings);
    return std::min(m_options.m_limit, m_options.m_base * factor);
}

duration backoff::next(std::mt19937_64& random)
{
    std::uniform_int_distribution<std::int64_t> wait(0, bound().count());
    ++m_failures;
    return milliseconds(wait(random));
}

} // namespace pomelohead::source
