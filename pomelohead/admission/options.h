// The settings of an owner's admission policy, with a switch for each mechanism.
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>

namespace pomelohead::admission {

/// Plain values; the defaults are those that docs/POLICY.md gives figures for.
struct admission_options {
    bool m_short_reserve = true;      ///< long work leaves room for short work
    bool m_urgency_order = true;      ///< urgent work leaves the queue first
    bool m_depth_order = true;        ///< deep calls before the start of new chains
    bool m_fair_share = true;         ///< accounts with little recent use first
    bool m_deadline_admission = true; ///< refuse what cannot finish in the time left
    bool m_bounded_wait = true;       ///< refuse short work that would wait past m_max_wait
    bool m_slow_start = true;         ///< begin with few slots
    bool m_objective_order = false;   ///< what can meet its objective goes before what cannot
    bool m_deep_first = false;        ///< depth in the call chain goes before urgency
    bool m_short_first = false;       ///< of requests alike, the shorter goes first

    /// Slots that long work never takes.
    std::uint32_t m_min_reserve = 1;
    /// Slots that waiting long work gets on average even if short work wants all.
    double m_long_floor = 0.25;
    /// Over which time the load of short work is averaged.
    milliseconds m_load_window{1000};
    /// Queued short requests per slot.
    std::uint32_t m_queue_per_slot = 8;
    /// Queued long requests per slot.
    std::uint32_t m_long_queue_per_slot = 1;
    /// The longest that a short request waits for a slot.
    milliseconds m_max_wait{30};
    /// With m_objective_order: the longest wait of a request that would be late anyway.
    milliseconds m_late_wait{50};
    /// Share of a request's typical run time that must be left for it to start.
    double m_needed_share = 1.0;
    /// Share of the recent use that an account with waiting work gets whatever
    /// the urgency of the others; divided further among more than ten accounts.
    double m_account_floor = 0.05;
    /// With m_short_first: a route whose served part is less than this times that of all
    /// routes goes first.
    double m_route_floor = 0.5;
    /// Over which time the use by an account or a route is forgotten.
    milliseconds m_share_window{1000};
    /// Share of the slots that a new owner begins with.
    double m_slow_start_share = 0.25;
    /// From the first request until all slots are in use.
    milliseconds m_slow_start_time{2000};

    bool operator==(const admission_options&) const = default;
};

} // namespace pomelohead::admission
