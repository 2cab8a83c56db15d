// Options of an owner's admission control, with a switch for each mechanism.
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>

namespace pomelohead::admission {

/// The figures in docs/POLICY.md are for the default values.
struct admission_options {
    bool m_short_reserve = true;      ///< long work leaves slots free for short work
    bool m_urgency_order = true;      ///< queued urgent work starts first
    bool m_depth_order = true;        ///< calls deep in a call chain start before new chains
    bool m_fair_share = true;         ///< accounts with less recent use start first
    bool m_deadline_admission = true; ///< refuse requests that cannot finish before their deadline
    bool m_bounded_wait = true;       ///< refuse short work that would wait past m_max_wait
    bool m_slow_start = true; ///< start with few slots and raise the limit over m_slow_start_time
    bool m_objective_order = false; ///< requests that can meet their objective start first
    bool m_deep_first = false;      ///< depth in the call chain takes precedence over urgency
    bool m_call_reserve = false;    ///< other requests leave slots for the load of calls
    bool m_short_first = false;     ///< of otherwise equal requests, the shorter starts first

    /// Number of slots that long work never uses.
    std::uint32_t m_min_reserve = 1;
    /// Average number of slots that queued long work gets even if short work could use all.
    double m_long_floor = 0.25;
    /// Time constant of the average load of short and of long work.
    milliseconds m_load_window{1000};
    /// Maximum number of queued short requests per slot.
    std::uint32_t m_queue_per_slot = 8;
    /// Maximum number of queued long requests per slot.
    std::uint32_t m_long_queue_per_slot = 1;
    /// Maximum time that a short request waits for a slot.
    milliseconds m_max_wait{30};
    /// With m_objective_order: maximum wait of a request that can no longer meet its
    /// objective.
    milliseconds m_late_wait{50};
    /// Fraction of a request's typical run time that must remain before its deadline for it
    /// to start.
    double m_required_run_time_share = 1.0;
    /// Fraction of the recent use that an account with queued work gets regardless of the
    /// urgency of other accounts' work. With more than ten accounts it is lower, so that
    /// the floors of all accounts together stay bounded.
    double m_account_floor = 0.05;
    /// With m_short_first: a route takes precedence when the fraction of its offered run
    /// time that was started is below this factor times the fraction over all routes.
    double m_route_floor = 0.5;
    /// Time constant of the exponential decay of recent use by accounts and routes.
    milliseconds m_share_window{1000};
    /// Fraction of the slots that a new owner starts with.
    double m_slow_start_share = 0.25;
    /// Time from the first request until the limit reaches all slots.
    milliseconds m_slow_start_time{2000};

    bool operator==(const admission_options&) const = default;
};

} // namespace pomelohead::admission
