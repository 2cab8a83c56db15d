// Which service of a divided route the next request goes to.
//
// Smooth weighted round robin: over any run of requests each service's count differs
// from its share by less than one for each service of the route, so that the shares hold
// over short times too. Where a service has no room its requests are refused: moving
// them to another one would change the shares that the operators asked for.
//
//     share_rotation shares;
//     const std::string& service = shares.next(route);
#pragma once

#include "pomelohead/config/snapshot.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace pomelohead::routing {

/// One entry's rotation over all divided routes.
class share_rotation {
public:
    /// The service of the next request on this route.
    [[nodiscard]] const std::string& next(const config::route& route);

    /// Forgets routes that `config` does not have.
    void retain(const config::snapshot& config);

private:
    struct route_state {
        std::vector<config::service_share> m_shares; ///< that the credits belong to
        std::vector<std::int64_t> m_credits;
    };
    std::unordered_map<std::string, route_state> m_state_by_route; ///< by route
};

} // namespace pomelohead::routing
