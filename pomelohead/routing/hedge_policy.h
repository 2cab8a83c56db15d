// Decides when to send a second (hedged) attempt of a slow call.
//
// Failure addressed: a target that runs several times as long for some hundred milliseconds. It is
// answered by then, so nothing fails, but the callers whose requests it holds are late. Only
// idempotent short calls are hedged, after a delay equal to a high latency quantile of their
// route, and only while the service's hedge limit allows it (hedge_limit.h). The caller also takes
// a token of the retry budget, and cancels the attempt that finishes last.
//
//     hedge_policy hedges(options);
//     hedges.record_request("rota", now);
//     if (std::optional<duration> delay = hedges.delay_for("rota-read", call)) {
//         // after *delay without a response:
//         if (hedges.may_hedge("rota", now) && retries.may_hedge(call, now, "rota")) {
//             hedges.record_hedge("rota", now);
//             send_second();
//         }
//     }
//     hedges.record_success("rota-read", latency);
#pragma once

#include "pomelohead/routing/call.h"
#include "pomelohead/routing/hedge_limit.h"
#include "pomelohead/routing/options.h"
#include "pomelohead/runtime/latency_estimate.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace pomelohead::routing {

/// Hedging decisions of one entry.
class hedge_policy {
public:
    explicit hedge_policy(const routing_options& options);

    /// Returns how long to wait for the first attempt before hedging, or nullopt if calls like
    /// this one are not hedged.
    [[nodiscard]] std::optional<duration> delay_for(const std::string& route,
                                                    const call_attributes& call) const;

    /// Records that a request was sent to the service, at its first attempt.
    void record_request(const std::string& service, time_point now);

    /// Returns whether the limit allows one more hedge to the service now.
    [[nodiscard]] bool may_hedge(const std::string& service, time_point now);

    void record_hedge(const std::string& service, time_point now);

    /// Records the latency of an answered short call, measured from the start of its first
    /// attempt, whichever attempt was answered.
    void record_success(const std::string& route, duration latency);

    /// Removes the state of routes and services that are not in `config`.
    void retain(const config::snapshot& config);

private:
    [[nodiscard]] bool is_on() const { return m_options.m_hedging && m_options.m_hedge_share > 0; }
    [[nodiscard]] hedge_limit& limit_of(const std::string& service);

    routing_options m_options;
    std::unordered_map<std::string, hedge_limit> m_limits;                 ///< by service
    std::unordered_map<std::string, duration_quantile> m_latency_by_route; ///< by route
};

} // namespace pomelohead::routing
