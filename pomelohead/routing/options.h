// Options of an entry node's routing, with a switch for each mechanism.
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>

namespace pomelohead::routing {

/// docs/POLICY.md has measurements for the defaults.
struct routing_options {
    bool m_power_of_two = true; ///< compare random candidates by expected wait; false: round robin
    bool m_use_load_reports =
        true; ///< use owners' load reports, not only this entry's outstanding calls
    bool m_slow_detection = true;   ///< reduce the share of targets slower than their peers
    bool m_slow_start = true;       ///< ramp up the share of a restarted or recovered target
    bool m_local_preference = true; ///< prefer targets in the entry's own failure domain
    bool m_retry_budget = true;     ///< limit retries and resends to a share of successes
    bool m_hedging = true;          ///< send second attempts of slow idempotent short calls

    /// Number of candidates drawn from the entry's own failure domain, and again from all others.
    std::uint32_t m_candidates = 2;
    /// Attempts that a target must start at once or refuse, before one may wait in a queue.
    std::uint32_t m_immediate_attempts = 0;
    /// Rate each target by its own run times and mean load where its latest report is old.
    bool m_use_target_history = false;
    /// Round-trip latency that a target in another failure domain adds to a call.
    std::chrono::microseconds m_cross_domain_cost{3000};
    /// Additional cost for each KiB of the request and its expected response.
    std::chrono::microseconds m_cross_domain_cost_per_kib{0};
    /// Round-trip latency that a target in another region adds to a call.
    std::chrono::microseconds m_cross_region_cost{16000};
    /// Age at which the weight of a load report has decayed to 1/e.
    milliseconds m_load_report_decay{100};
    /// How long a load report that says "draining" excludes the target. After that a request is
    /// sent to the owner again; its response, "not run" or not, carries a new report.
    milliseconds m_drain_report_lifetime{1000};
    /// A target is slow if its latency is at least this multiple of the median of its peers.
    double m_slow_ratio = 3.0;
    /// Share of its normal load that a slow target still gets.
    double m_slow_share = 0.005;
    /// Time in which the share of a target in slow start doubles.
    milliseconds m_slow_start_doubling_time{200};
    /// Time without samples after which the latency ratio of a slow target decays to its square
    /// root (the half-life of the ratio's logarithm).
    milliseconds m_slow_ratio_half_life{1000};

    /// Retries allowed per successful call.
    double m_retry_share = 0.02;
    /// Share of the requests sent to a service within m_hedge_window that may be hedged; 0: none.
    double m_hedge_share = 0.025;
    /// Window over which m_hedge_share holds.
    milliseconds m_hedge_window{10'000};
    /// Whether a hedge may leave the entry's own failure domain where that has no target for it.
    bool m_hedge_across_domains = false;
    /// Resends of requests that an owner rejected as not run, allowed per successful call.
    double m_resend_share = 0.2;
    /// A short call is resent only while owners have held it for at most this long.
    milliseconds m_resend_window{15};
    /// Retries per second that are allowed without any successful call; resends likewise.
    double m_budget_floor_per_s = 0.1;
    /// Maximum number of accumulated retries of a service; hedges leave half of them.
    double m_budget_cap = 20;
    /// Maximum number of accumulated resends, and the number that a new entry starts with.
    double m_resend_cap = 50;
    /// Latency quantile of the route that is used as the hedge delay.
    double m_hedge_quantile = 0.98;
    /// How long an owner may leave data unacknowledged before its connection counts as lost.
    milliseconds m_max_silence{2000};
    /// Whether silent hosts count for their whole failure domain.
    bool m_domain_detection = false;
    /// Lower bound of the hedge delay.
    milliseconds m_min_hedge_delay{2};

    /// Attempts of one request that do not wait for a slot. Two more targets of other failure
    /// domains may be asked before the request waits in its own.
    [[nodiscard]] std::uint32_t max_immediate_attempts() const
    {
        return m_immediate_attempts > 0 ? m_immediate_attempts + 2 : 0;
    }

    bool operator==(const routing_options&) const = default;
};

} // namespace pomelohead::routing
