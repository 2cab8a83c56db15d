// Seeded random arrivals and the sizes of the services that they go to.
#pragma once

#include "bench/policy_sim.h"

namespace pomelohead::bench {

/// The mean run time of short work in all scenarios.
inline constexpr duration short_run_time = std::chrono::milliseconds(20);

/// A service with its entries: its own targets' nodes and those of its neighbours.
struct service_size {
    std::size_t m_targets = 0;
    std::uint32_t m_slots = 0;
    std::size_t m_other_entries = 0; ///< nodes beside targets of other services
};

inline constexpr service_size rota_service{7, 9, 3};
inline constexpr service_size schedules_service{8, 6, 3};

/// One service over three failure domains.
[[nodiscard]] sim_world make_world(const service_size& size);

/// One stream of calls.
struct stream {
    std::function<double(double)> m_rate; ///< calls per second at a time in seconds
    double m_max_rate = 0;                ///< an upper bound of m_rate
    arrival m_template;                   ///< m_work is the mean
    double m_tight_share = 0;             ///< share of calls with a tight deadline
};

/// A Poisson stream over `length`, with lognormal run times.
[[nodiscard]] std::vector<arrival> make_stream(const stream& what, std::size_t entries,
                                               duration length, std::uint64_t seed);

/// All arrivals of several streams in order of time.
[[nodiscard]] std::vector<arrival> merge(std::vector<std::vector<arrival>> streams);

} // namespace pomelohead::bench
