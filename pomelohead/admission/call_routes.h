// Recognises routes whose requests are calls that targets make while they run a request.
//
// A refused or late call loses the work of the request that waits for it, so calls get slots before
// other requests. Nothing in a request tells that it is a call, but targets do not call their own
// service, while callers enter the mesh at hosts of all services. A route of which none of many
// requests came from a host of its own service is therefore a route of calls.
//
//     call_routes routes;
//     routes.record("rate-lookup", false, 0.45);   // from a host of another service
//     routes.is_call("rate-lookup");               // after enough of them
#pragma once

#include <string>
#include <unordered_map>

namespace pomelohead::admission {

/// Counts the requests of each route by the service of the host at which they entered.
class call_routes {
public:
    /// Records a request. `is_from_own_service`: it entered at a host of the service that it is
    /// for; `own_share`: the share of those hosts among all, 0 to 1.
    void record(const std::string& route, bool is_from_own_service, double own_share);

    /// Whether the route's requests are calls.
    [[nodiscard]] bool is_call(const std::string& route) const;

private:
    // Probability that callers who enter at any host miss those of one service as often as seen.
    static constexpr double max_error_probability = 1e-4;
    static constexpr std::size_t max_routes = 1000; ///< bounds memory; others are no calls

    std::unordered_map<std::string, double>
        m_log_probability; ///< by route; of such a series so far
};

} // namespace pomelohead::admission
