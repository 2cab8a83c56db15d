#include "pomelohead/admission/long_work_limit.h"

#include <algorithm>
#include <cmath>

namespace pomelohead::admission {

void long_work_limit::observe(std::uint32_t short_load, std::uint32_t running_long, time_point now)
{
    const std::chrono::duration<double> elapsed = now - m_last;
    const std::chrono::duration<double> window = m_options.m_load_window;
    if (elapsed.count() > 0) {
        const double retained = std::exp(-elapsed.count() / window.count());
        m_average_short = m_short_load + (m_average_short - m_short_load) * retained;
        m_average_long = m_running_long + (m_average_long - m_running_long) * retained;
        m_last = now;
    }
    m_short_load = short_load;
    m_running_long = running_long;
}

double long_work_limit::average_limit(std::uint32_t slots) const
{
    const double reserve = std::max<double>(m_options.m_min_reserve, m_average_short);
    return std::max(m_options.m_long_floor, slots - reserve);
}

bool long_work_limit::is_below_floor() const
{
    return m_running_long == 0 && m_average_long < m_options.m_long_floor;
}

bool long_work_limit::allows(std::uint32_t running_long, std::uint32_t slots) const
{
    if (running_long + m_options.m_min_reserve >= slots) {
        // A target with no slots beyond the reserve runs one long request at a time.
        return slots <= m_options.m_min_reserve && running_long == 0;
    }
    const double limit = average_limit(slots);
    if (running_long + 1 <= limit) {
        return true;
    }
    return running_long < limit && m_average_long < limit;
}

} // namespace pomelohead::admission
