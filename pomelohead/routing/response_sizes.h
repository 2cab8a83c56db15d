// The expected size of the response to a request of each route, from the responses seen.
//
// An entry weighs the bytes of a request that it sends to another failure domain before it knows
// the response; the mean of the route's latest responses stands for it.
//
//     response_sizes sizes;
//     sizes.record("rota-view", 5000);
//     sizes.expected("rota-view");   // 5000
#pragma once

#include "pomelohead/config/snapshot.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace pomelohead::routing {

/// Exponentially weighted mean of the response bytes by route.
class response_sizes {
public:
    void record(const std::string& route, std::uint64_t bytes)
    {
        const auto [it, is_new] = m_bytes.try_emplace(route, static_cast<double>(bytes));
        if (!is_new) {
            it->second += gain * (static_cast<double>(bytes) - it->second);
        }
    }

    /// Returns the mean in bytes; 0 before the first response.
    [[nodiscard]] std::uint64_t expected(const std::string& route) const
    {
        const auto it = m_bytes.find(route);
        return it != m_bytes.end() ? static_cast<std::uint64_t>(it->second) : 0;
    }

    /// Removes the state of routes that are not in `config`.
    void retain(const config::snapshot& config)
    {
        std::erase_if(m_bytes, [&](const auto& item) {
            return config.find_route_by_name(item.first) == nullptr;
        });
    }

private:
    static constexpr double gain = 0.1; ///< weight of the latest response
    std::unordered_map<std::string, double> m_bytes;
};

} // namespace pomelohead::routing
