// Recently offered and started run time of each route on one target.
//
// Both are sums of run time with exponential decay. With m_short_first they show whether a
// route with a long run time gets too little, and which fraction of the target's capacity
// goes to the routes ahead of a given one, which lengthens its wait.
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

    /// Records an offered request; `run_time` is its expected run time.
    void add_offered(const std::string& route, config::work_class work, duration run_time,
                     time_point now)
    {
        m_offered.add(route, work, run_time, now);
    }

    /// Records a request that got a slot; `run_time` is its expected run time.
    void add_started(const std::string& route, config::work_class work, duration run_time,
                     time_point now)
    {
        m_started.add(route, work, run_time, now);
    }

    /// Whether the fraction of the route's offered run time that was started is below
    /// `floor` times the fraction over all routes.
    [[nodiscard]] bool is_below_floor(const std::string& route, config::work_class work,
                                      double floor) const
    {
        return m_started.share_of(route, work) < floor * m_offered.share_of(route, work);
    }

    /// The route's fraction of the started run time, 0 to 1.
    [[nodiscard]] double share_of(const std::string& route, config::work_class work) const
    {
        return m_started.share_of(route, work);
    }

private:
    recent_use m_offered;
    recent_use m_started;
};

} // namespace pomelohead::admission
