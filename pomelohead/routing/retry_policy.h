// Decides whether an entry node sends a call again after an attempt has ended.
//
// There are two kinds of further attempts, with different costs and separate budgets:
//   - Resend: the attempt is known not to have run. A resend costs two messages, and is allowed
//     while a final rejection would still reach the caller quickly.
//   - Retry: the attempt failed and may have run. Only idempotent calls are retried, and each
//     retry is additional work for a target.
//
//     retry_policy retries(options);
//     if (retries.may_resend(call, elapsed, now)) { try_another_owner(); }
//     retries.record_success(now);
#pragma once

#include "pomelohead/routing/call.h"
#include "pomelohead/routing/options.h"
#include "pomelohead/routing/retry_budget.h"

#include <string>
#include <unordered_map>

namespace pomelohead::routing {

/// Retry decisions of one entry node. Each granted attempt is taken from its budget.
class retry_policy {
public:
    explicit retry_policy(const routing_options& options);

    /// Returns whether to resend after an attempt that is known not to have run. `elapsed` is how
    /// long owners have held the call; zero if no connection was made.
    [[nodiscard]] bool may_resend(const call_attributes& call, duration elapsed, time_point now);

    /// Returns whether to retry after an attempt was lost or timed out with time left for another.
    /// Each service has its own budget, so that one failing service does not use up the retries of
    /// others.
    [[nodiscard]] bool may_retry(const call_attributes& call, time_point now,
                                 const std::string& service = {});

    /// Returns whether to send again after the target itself rejected an attempt as not run. That
    /// attempt reached the target, so another one counts as a retry, idempotent or not.
    [[nodiscard]] bool may_retry_refused(const call_attributes& call, time_point now,
                                         const std::string& service);

    /// Returns whether to send a second attempt of a call that is still in progress (a hedge). It
    /// takes from the same budget as the service's retries, but leaves half of the cap to them, so
    /// that hedges sent while all is well do not use up the retries of the next failure.
    [[nodiscard]] bool may_hedge(const call_attributes& call, time_point now,
                                 const std::string& service = {});

    /// Adds to the budgets; called once per answered call.
    void record_success(time_point now, const std::string& service = {});

private:
    [[nodiscard]] retry_budget& retry_budget_for(const std::string& service);

    routing_options m_options;
    retry_budget m_resend_budget;
    std::unordered_map<std::string, retry_budget> m_retry_budgets; ///< by service
};

} // namespace pomelohead::routing
