// Each request adds to every service's credit its weight, then selects the service with the
// highest credit and subtracts the sum of all weights from it. The credits always sum to zero.
#include "pomelohead/routing/weighted_round_robin.h"

#include <algorithm>

namespace pomelohead::routing {

const std::string& weighted_round_robin::next(const config::route& route)
{
    if (route.m_shares.empty()) {
        return route.m_service;
    }
    route_state& state = m_state_by_route[route.m_name];
    if (state.m_shares != route.m_shares) {
        state.m_shares = route.m_shares;
        state.m_credits.assign(route.m_shares.size(), 0);
    }
    std::int64_t total_weight = 0;
    for (std::size_t i = 0; i < state.m_credits.size(); ++i) {
        state.m_credits[i] += route.m_shares[i].m_weight;
        total_weight += route.m_shares[i].m_weight;
    }
    const auto selected = std::ranges::max_element(state.m_credits);
    *selected -= total_weight;
    return route.m_shares[static_cast<std::size_t>(selected - state.m_credits.begin())].m_service;
}

void weighted_round_robin::retain(const config::snapshot& config)
{
    std::erase_if(m_state_by_route, [&](const auto& item) {
        return config.find_route_by_name(item.first) == nullptr;
    });
}

} // namespace pomelohead::routing
