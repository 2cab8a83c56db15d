#include "pomelohead/admission/call_routes.h"

#include <algorithm>
#include <cmath>

namespace pomelohead::admission {

void call_routes::record(const std::string& route, bool is_from_own_service, double own_share)
{
    const auto it = m_log_probability.find(route);
    if (it == m_log_probability.end() && m_log_probability.size() >= max_routes) {
        return;
    }
    double& log_probability = it != m_log_probability.end() ? it->second : m_log_probability[route];
    if (is_from_own_service) {
        log_probability = 0;
        return;
    }
    // With all hosts of one service nothing can be told.
    constexpr double max_share = 0.999;
    log_probability += own_share < max_share ? std::log1p(-std::max(own_share, 0.0)) : 0;
}

bool call_routes::is_call(const std::string& route) const
{
    const auto it = m_log_probability.find(route);
    return it != m_log_probability.end() && it->second < std::log(max_error_probability);
}

} // namespace pomelohead::admission
