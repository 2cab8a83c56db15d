// A part of the window is a fixed interval of the clock, so the oldest one is only partly inside
// the window. Its hedges count and its requests do not: the limit then holds exactly for every
// window that ends with a hedge, at the cost of up to a tenth of the allowed hedges.
#include "pomelohead/routing/hedge_limit.h"

#include <algorithm>

namespace pomelohead::routing {

hedge_limit::hedge_limit(double share, duration window)
    : m_share(share), m_part_length(std::max<duration>(window / parts_per_window, milliseconds(1)))
{
}

void hedge_limit::advance(time_point now)
{
    const auto number = static_cast<std::uint64_t>(now.time_since_epoch() / m_part_length);
    if (number <= m_latest) {
        return; // the same part, or a time before one that was seen
    }
    if (number - m_latest >= m_parts.size()) {
        m_parts.fill({});
    }
    else {
        for (std::uint64_t i = m_latest + 1; i <= number; ++i) {
            m_parts[i % m_parts.size()] = {};
        }
    }
    m_latest = number;
}

void hedge_limit::record_request(time_point now)
{
    advance(now);
    ++latest().m_requests;
}

bool hedge_limit::may_hedge(time_point now)
{
    advance(now);
    double requests = 0;
    double hedges = 0;
    for (const part& item : m_parts) {
        requests += item.m_requests;
        hedges += item.m_hedges;
    }
    // The oldest part is the one that the next one will replace.
    requests -= m_parts[(m_latest + 1) % m_parts.size()].m_requests;
    return hedges + 1 <= m_share * requests;
}

void hedge_limit::record_hedge(time_point now)
{
    advance(now);
    ++latest().m_hedges;
}

} // namespace pomelohead::routing
