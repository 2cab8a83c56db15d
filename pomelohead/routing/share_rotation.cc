// Each request gives every service its weight as credit and takes the sum of all weights
// from the one that has most; the credits always sum to zero.
#include "pomelohead/routing/share_rotation.h"

#include <algorithm>

namespace pomelohead::routing {

const std::string& share_rotation::next(const config::route& route)
{
    if (route.m_shares.empty()) {
        return route.m_service;
    }
    rotation& now = m_rotations[route.m_name];
    if (now.m_shares != route.m_shares) {
        now.m_shares = route.m_shares;
        now.m_credits.assign(route.m_shares.size(), 0);
    }
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < now.m_credits.size(); ++i) {
        now.m_credits[i] += route.m_shares[i].m_weight;
        sum += route.m_shares[i].m_weight;
    }
    const auto richest = std::ranges::max_element(now.m_credits);
    *richest -= sum;
    return route.m_shares[static_cast<std::size_t>(richest - now.m_credits.begin())].m_service;
}

void share_rotation::retain(const config::snapshot& config)
{
    std::erase_if(m_rotations, [&](const auto& item) {
        return config.find_route_by_name(item.first) == nullptr;
    });
}

} // namespace pomelohead::routing
