// Plays requests of several routes against the slots of one target, on a virtual clock.
//
//     const auto counts = play_overload(options, 9, {{.m_name = "read", .m_run_time = 75ms,
//                                                     .m_gap = 4ms}}, 10s);
//     BOOST_TEST(counts.at("read").m_on_time > 900);
#pragma once

#include "pomelohead/admission/slot_queue.h"

#include <map>
#include <string>
#include <vector>

namespace pomelohead::testing {

/// Requests of one route, one every m_gap, each with the same run time.
struct offered_route {
    std::string m_name;
    duration m_run_time{};
    duration m_gap{};
    duration m_objective = std::chrono::milliseconds(300);
    duration m_deadline = std::chrono::milliseconds(800);
    config::urgency m_urgency = config::urgency::normal;
    std::uint32_t m_depth = 0;
};

/// What the callers of one route got.
struct route_result {
    int m_offered = 0;
    int m_on_time = 0;
    int m_late = 0;            ///< answered between objective and deadline
    int m_refused = 0;         ///< at once or from the queue
    duration m_longest_hold{}; ///< of a request that was then refused
    duration m_total_hold{};   ///< of all that were refused
};

/// Offers the routes' requests for `length` and returns the results by route.
[[nodiscard]] std::map<std::string, route_result>
play_overload(const admission::admission_options& options, std::uint32_t slots,
              const std::vector<offered_route>& routes, duration length);

} // namespace pomelohead::testing
