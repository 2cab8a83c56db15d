// What each route has lately asked of one target, and what it got.
//
// Both are counted in run time and forgotten exponentially. Where shorter routes go
// first, two questions follow: whether a long route gets too little, and how much of the
// target goes to the routes before a given one, which makes its wait longer.
//
//     route_shares shares(1s);
//     shares.add_offered("photos", config::work_class::short_work, 90ms, now);
//     shares.add_started("photos", config::work_class::short_work, 90ms, now);
//     if (shares.is_below_floor("photos", config::work_class::short_work, 0.5)) ...
#pragma once

#include "pomelohead/admission/recent_use.h"

namespace pomelohead::admission {

/// Decaying offered and started run time per route and class of work.
class route_shares {
public:
    explicit route_shares(duration window) : m_offered(window), m_started(window) {}

    /// A request of the route came; `run_time` is what it is expected to take.
    void add_offered(const std::string& route, config::work_class work, duration run_time,
                     time_point now)
    {
        m_offered.add(route, work, run_time, now);
    }

    /// A request of the route got a slot.
    void add_started(const std::string& route, config::work_class work, duration run_time,
                     time_point now)
    {
        m_started.add(route, work, run_time, now);
    }

    /// Whether the part of its offers that a route got started is less than `floor` times
    /// the part that all routes together got started.
    [[nodiscard]] bool is_below_floor(const std::string& route, config::work_class work,
                                      double floor) const
    {
        return m_started.share_of(route, work) < floor * m_offered.share_of(route, work);
    }

    /// The part of the started run time that went to a route, 0 to 1.
    [[nodiscard]] double share_of(const std::string& route, config::work_class work) const
    {
        return m_started.share_of(route, work);
    }

private:
    recent_use m_offered;
    recent_use m_started;
};

} // namespace pomelohead::admission
