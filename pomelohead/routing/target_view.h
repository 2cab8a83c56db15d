// What one entry knows about one target: its own attempts and the owner's word.
//
// A target's latency is this entry's own measurement; load reports do not enter.
// Attempts that are still outstanding count as soon as they have overstayed, so
// that a target which stops answering is noticed without an answer.
//
//     target_view view;
//     view.record_start(config::work_class::short_work, now);
//     ...
//     view.record_finish(config::work_class::short_work, attempt_result::answered, 21ms, now,
//     options);
#pragma once

#include "pomelohead/routing/call.h"
#include "pomelohead/routing/options.h"
#include "pomelohead/runtime/latency_estimate.h"

#include <optional>
#include <vector>

namespace pomelohead::routing {

/// Mutable record of one target.
class target_view {
public:
    void record_start(config::work_class work, time_point now);
    void record_finish(config::work_class work, attempt_result result, duration latency,
                       time_point now);
    /// Takes the owner's word; words of an older incarnation are ignored. A newer
    /// incarnation resets what is known and returns slowly.
    void record_load_report(const owner_word& report, const routing_options& options);

    /// Short work's latency as it stands now, outstanding attempts included.
    /// Zero: unknown. `peer_median` is the median of the peers, zero where unknown.
    [[nodiscard]] duration latency_with_outstanding(duration peer_median, time_point now) const;
    /// Latency of answered attempts alone; zero: unknown.
    [[nodiscard]] duration finished_latency() const { return m_latency.value(); }

    /// How many times slower than `peer_median` the target is; at least 1.
    [[nodiscard]] double slow_ratio(duration peer_median, time_point now,
                                    const routing_options& options) const;

    /// The share of its usual work to send now, from m_slow_share to 1. Falls at
    /// once and rises by slow start.
    [[nodiscard]] double share(duration peer_median, time_point now,
                               const routing_options& options);

    /// Estimated slots free for a call; negative: that many requests wait before
    /// it. `mean_headroom` stands for what an aged or missing word does not tell.
    [[nodiscard]] double headroom(const call_facts& call, double mean_headroom, time_point now,
                                  const routing_options& options) const;

    /// Whether the owner said lately that it drains.
    [[nodiscard]] bool is_draining(time_point now, const routing_options& options) const
    {
        return m_report && m_report->m_draining &&
               now - m_report->m_heard < options.m_drain_report_lifetime;
    }
    [[nodiscard]] const std::optional<owner_word>& load_report() const { return m_report; }
    [[nodiscard]] std::uint32_t outstanding(config::work_class work) const;

private:
    std::vector<time_point> m_short_outstanding; // by start time
    std::uint32_t m_long_outstanding = 0;
    std::optional<owner_word> m_report;
    std::uint32_t m_short_outstanding_at_report = 0;
    std::uint32_t m_long_outstanding_at_report = 0;
    typical_duration m_latency{latency_gain};
    time_point m_last_sample;
    double m_share = 1;
    time_point m_share_time;

    static constexpr double latency_gain = 0.3;
};

} // namespace pomelohead::routing
