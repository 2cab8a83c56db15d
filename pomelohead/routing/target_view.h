// One entry node's state of one target: its own attempts and the owner's load report.
//
// The latency of a target is measured by this entry alone; load reports do not affect it.
// Outstanding attempts count once they are overdue, so that a target that stops responding is
// detected before any attempt finishes.
//
//     target_view view;
//     view.record_start(config::work_class::short_work, now);
//     ...
//     view.record_finish(config::work_class::short_work, attempt_result::answered, 21ms, now);
#pragma once

#include "pomelohead/routing/call.h"
#include "pomelohead/routing/options.h"
#include "pomelohead/runtime/latency_estimate.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pomelohead::routing {

/// Latency, outstanding attempts and load report of one target.
class target_view {
public:
    void record_start(config::work_class work, time_point now);
    void record_finish(config::work_class work, attempt_result result, duration latency,
                       time_point now);
    /// Records the owner's load report. Reports of an older incarnation are ignored. A newer
    /// incarnation resets the latency and starts with a small share (slow start).
    /// `route`: of the request that the report came with, for its run time.
    void record_load_report(const owner_load_report& report, const routing_options& options,
                            const std::string& route = {});

    /// Returns by how much its owner's delay lengthens a call; it decays with the report's age.
    [[nodiscard]] duration processing_delay(time_point now) const;

    /// Returns the target's typical run time of a route by its owner; zero if unknown.
    [[nodiscard]] duration run_time(const std::string& route) const;

    /// Returns the mean of the typical run times of all known routes; zero if none is known.
    [[nodiscard]] duration mean_run_time() const;

    /// Returns the latency of short work, overdue outstanding attempts included; zero if unknown.
    /// `peer_median` is the median latency of the peers, zero if unknown.
    [[nodiscard]] duration latency_with_outstanding(duration peer_median, time_point now) const;
    /// Returns the latency of finished attempts alone; zero if unknown.
    [[nodiscard]] duration finished_latency() const { return m_latency.value(); }

    /// Returns how many times slower than `peer_median` the target is; at least 1.
    [[nodiscard]] double slow_ratio(duration peer_median, time_point now,
                                    const routing_options& options) const;

    /// Returns the share of its normal load to send now, from m_slow_share to 1. It falls at once
    /// and rises by slow start.
    [[nodiscard]] double share(duration peer_median, time_point now,
                               const routing_options& options);

    /// Returns the estimated number of free slots for a call; a negative value is the number of
    /// requests queued ahead of it. `mean_headroom` replaces the report to the degree that it is
    /// old or missing.
    [[nodiscard]] double headroom(const call_attributes& call, double mean_headroom, time_point now,
                                  const routing_options& options) const;

    /// Returns whether a recent load report says that the owner is draining.
    [[nodiscard]] bool is_draining(time_point now, const routing_options& options) const
    {
        return m_report && m_report->m_draining &&
               now - m_report->m_received_at < options.m_drain_report_lifetime;
    }
    /// Records that the target takes no more requests until then.
    void record_rate_limited(time_point until) { m_rate_limited_until = until; }
    [[nodiscard]] bool is_rate_limited(time_point now) const { return now < m_rate_limited_until; }

    [[nodiscard]] const std::optional<owner_load_report>& load_report() const { return m_report; }
    [[nodiscard]] std::uint32_t outstanding(config::work_class work) const;

private:
    std::vector<time_point> m_short_outstanding; // start times, ascending
    std::uint32_t m_long_outstanding = 0;
    std::optional<owner_load_report> m_report;
    std::uint32_t m_short_outstanding_at_report = 0;
    std::uint32_t m_long_outstanding_at_report = 0;
    typical_duration m_latency{latency_gain};
    time_point m_last_sample;
    double m_share = 1;
    time_point m_share_time;
    time_point m_rate_limited_until{};
    // Exponentially weighted means over the load reports, in requests.
    double m_mean_headroom = 0;
    double m_mean_urgent_headroom = 0;
    std::unordered_map<std::string, duration> m_run_times; ///< by route

    static constexpr double latency_gain = 0.3;
    static constexpr double headroom_gain = 0.3;
};

} // namespace pomelohead::routing
