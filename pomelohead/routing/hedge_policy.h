// Decides when to send a second (hedged) attempt of a slow call.
//
// Only idempotent short calls are hedged, after a delay equal to a high latency quantile
// of their service, and only while the hedge budget allows it. The caller cancels the
// attempt that finishes last.
//
//     hedge_policy hedges(options);
//     hedges.record_success("rota", latency, now);
//     if (std::optional<duration> delay = hedges.delay_for("rota", call, now)) {
//         // after *delay without a response:
//         if (hedges.try_take(now, call.m_depth)) { send_second(); }
//     }
#pragma once

#include "pomelohead/routing/call.h"
#include "pomelohead/routing/options.h"
#include "pomelohead/routing/retry_budget.h"
#include "pomelohead/runtime/latency_estimate.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace pomelohead::routing {

/// Hedging decisions of one entry.
class hedge_policy {
public:
    explicit hedge_policy(const routing_options& options);

    /// Returns how long to wait for the first attempt before hedging, or nullopt if the call
    /// must not be hedged.
    [[nodiscard]] std::optional<duration> delay_for(const std::string& service,
                                                    const call_attributes& call, time_point now);

    /// Takes one hedge from the budget, once the delay has passed. Returns false if hedging is
    /// off or the budget is exhausted.
    [[nodiscard]] bool try_take(time_point now, std::uint32_t depth = 0);

    /// Records the latency of an answered short call, measured from the start of its first
    /// attempt, whichever attempt was answered.
    void record_success(const std::string& service, duration latency, time_point now);

private:
    routing_options m_options;
    retry_budget m_budget;
    std::unordered_map<std::string, duration_quantile> m_latency_by_service;
};

} // namespace pomelohead::routing
