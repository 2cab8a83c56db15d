#include "pomelohead/lifecycle/freeze.h"

namespace pomelohead::lifecycle {

std::optional<duration> freeze_detector::observe(time_point now)
{
    const duration gap = now - m_last;
    m_last = now;
    if (gap <= m_limit) {
        return std::nullopt;
    }
    m_confirmed = false;
    ++m_freezes;
    return gap;
}

} // namespace pomelohead::lifecycle
