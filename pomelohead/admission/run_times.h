// Run time estimates for one target, from its completed requests.
//
//     run_times times;
//     times.add(config::work_class::short_work, "rota", 18ms);
//     times.typical_run_time(config::work_class::short_work, "rota");   // about 18ms
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/latency_estimate.h"

#include <array>
#include <string>
#include <unordered_map>

namespace pomelohead::admission {

/// Estimates per route and per class of work.
class run_times {
public:
    void add(config::work_class work, const std::string& route, duration run_time);

    /// The typical run time of a route, or that of the class while the route has too few
    /// samples. Zero: unknown.
    [[nodiscard]] duration typical_run_time(config::work_class work,
                                            const std::string& route) const;

    /// The mean run time of a class. Zero: unknown.
    [[nodiscard]] duration mean_run_time(config::work_class work) const;

private:
    struct class_times {
        typical_duration m_typical;
        double m_mean_s = 0;
    };
    std::array<class_times, 2> m_classes;
    std::unordered_map<std::string, typical_duration> m_routes;
};

} // namespace pomelohead::admission
