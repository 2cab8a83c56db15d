// Whether an entry sends a call again after an attempt at it has ended.
//
// Two kinds of further attempts differ in what they cost. After a true "not run"
// nothing has been executed: a resend costs two messages, and is worth one while the
// caller's refusal stays prompt. After a failure the call may have run: only
// idempotent calls are retried, and each retry is extra work for a target. Each kind
// has its own budget.
//
//     retry_policy retries(options);
//     if (retries.may_resend(call, waited, now)) { try_another_owner(); }
//     retries.answered(now);
#pragma once

#include "pomelohead/routing/call.h"
#include "pomelohead/routing/options.h"
#include "pomelohead/routing/retry_budget.h"

#include <string>
#include <unordered_map>

namespace pomelohead::routing {

/// Retry decisions of one entry; a granted attempt is taken from its budget.
class retry_policy {
public:
    explicit retry_policy(const routing_options& options);

    /// After an attempt that was truly not run. `elapsed` is how long owners have
    /// kept the call waiting; zero where no connection was made.
    [[nodiscard]] bool may_resend(const call_facts& call, duration elapsed, time_point now);

    /// After an attempt was lost or timed out, with time left for another one. `service`
    /// has a budget of its own, so that a fault of one service takes no retries of others.
    [[nodiscard]] bool may_retry(const call_facts& call, time_point now,
                                 const std::string& service = {});

    /// After a target itself refused an attempt as not run. That attempt has reached the
    /// target, so another one draws on the budget of retries, whatever the call is.
    [[nodiscard]] bool may_retry_refused(const call_facts& call, time_point now,
                                         const std::string& service);

    /// Earns budget; called once for each call that was answered.
    void answered(time_point now, const std::string& service = {});

private:
    [[nodiscard]] retry_budget& retry_budget_for(const std::string& service);

    routing_options m_options;
    retry_budget m_resend_budget;
    std::unordered_map<std::string, retry_budget> m_retry_budgets; ///< by service
};

} // namespace pomelohead::routing
