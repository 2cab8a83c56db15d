// The settings of an entry's choice of owner, with a switch for each mechanism.
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>

namespace pomelohead::routing {

/// Plain values; the defaults are those that docs/POLICY.md gives figures for.
struct routing_options {
    bool m_power_of_two = true;     ///< compare candidates by load; off: round robin
    bool m_owner_word = true;       ///< use the owners' words beside own outstanding work
    bool m_slow_detection = true;   ///< send less to targets slower than their peers
    bool m_slow_start = true;       ///< send little at first to a target that returns
    bool m_local_preference = true; ///< own failure domain first
    bool m_retry_budget = true;     ///< bound retries by a share of successes
    bool m_hedging = true;          ///< second attempts of idempotent short reads

    /// Candidates compared in the own failure domain, and as many elsewhere.
    std::uint32_t m_candidates = 2;
    /// Added to a call by a target in another failure domain, both ways.
    std::chrono::microseconds m_cross_domain_cost{3000};
    /// Added to a call by a target in another region, both ways.
    std::chrono::microseconds m_cross_region_cost{16000};
    /// After this time an owner's word counts for 1/e of a fresh one.
    milliseconds m_load_report_decay{100};
    /// For how long an owner's word that it drains is believed. After it one request
    /// asks again: the owner's answer, "not run" or not, renews the word.
    milliseconds m_drain_report_lifetime{1000};
    /// A target this many times slower than the median of its peers is slow.
    double m_slow_ratio = 3.0;
    /// Share of its usual work that a slow target still gets.
    double m_slow_share = 0.005;
    /// Over which time the share of a returning target doubles.
    milliseconds m_slow_start_doubling_time{200};
    /// Over which time without samples a slow target's ratio shrinks to its square root.
    milliseconds m_slow_ratio_half_life{1000};

    /// Retries per success.
    double m_retry_share = 0.02;
    /// Hedges per success.
    double m_hedge_share = 0.025;
    /// Resends of requests that an owner refused as not run, per success.
    double m_resend_share = 0.2;
    /// Resends are tried only this soon after a call's arrival.
    milliseconds m_resend_window{15};
    /// Retries per second that are allowed without any success.
    double m_budget_floor_per_s = 0.1;
    /// Largest number of retries saved up.
    double m_budget_cap = 20;
    /// Largest number of resends saved up, and what a new entry begins with.
    double m_resend_cap = 50;
    /// A hedge starts when this share of calls has been answered.
    double m_hedge_quantile = 0.98;
    /// Never hedge sooner than this.
    milliseconds m_min_hedge_delay{2};

    bool operator==(const routing_options&) const = default;
};

} // namespace pomelohead::routing
