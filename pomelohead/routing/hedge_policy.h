// When a second attempt of a slow call is worth sending beside the first.
//
// Only idempotent short calls are hedged, after the time within which nearly all
// calls to their service are answered, and only while the budget lasts. The loser
// is to be cancelled.
//
//     hedge_policy hedges(options);
//     hedges.answered("rota", latency, now);
//     if (std::optional<duration> delay = hedges.delay_for("rota", call, now)) {
//         // no answer after *delay:
//         if (hedges.take(now, call.m_depth)) { send_second(); }
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

    /// How long to wait for the first attempt; nothing: do not hedge.
    [[nodiscard]] std::optional<duration> delay_for(const std::string& service,
                                                    const call_facts& call, time_point now);

    /// Takes one hedge from the budget when its delay has passed.
    [[nodiscard]] bool take(time_point now, std::uint32_t depth = 0);

    /// Learns from a short call that was answered, by whichever attempt; `latency`
    /// is counted from the first attempt.
    void answered(const std::string& service, duration latency, time_point now);

private:
    routing_options m_options;
    retry_budget m_budget;
    std::unordered_map<std::string, duration_quantile> m_latency_by_service; // by service
};

} // namespace pomelohead::routing
