// Selects the service for the next request on a route that is split between services.
//
// Smooth weighted round robin: over any sequence of requests each service's count differs from
// its share by less than one per service of the route, so that the shares also hold over short
// times. Requests to a service without capacity are rejected; moving them to another service
// would change the shares that the operators configured.
//
//     weighted_round_robin shares;
//     const std::string& service = shares.next(route);
#pragma once

#include "pomelohead/config/snapshot.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace pomelohead::routing {

/// Weighted round robin state of one entry node, for all split routes.
class weighted_round_robin {
public:
    /// Returns the service for the next request on `route`.
    [[nodiscard]] const std::string& next(const config::route& route);

    /// Removes the state of routes that are not in `config`.
    void retain(const config::snapshot& config);

private:
    struct route_state {
        std::vector<config::service_share> m_shares; ///< the shares that m_credits was computed for
        std::vector<std::int64_t> m_credits;
    };
    std::unordered_map<std::string, route_state> m_state_by_route;
};

} // namespace pomelohead::routing
