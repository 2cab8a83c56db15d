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

namespace pomelohead::routing {

/// Retry decisions of one entry; a granted attempt is taken from its budget.
class retry_policy {
public:
    explicit retry_policy(const routing_options& options);

    /// After an attempt that was truly not run. `elapsed` is how long owners have
    /// kept the call waiting; zero where no connection was made.
    [[nodiscard]] bool may_resend(const call_facts& call, duration elapsed, time_point now);

    /// After an attempt was lost or timed out, with time left for another one.
    [[nodiscard]] bool may_retry(const call_facts& call, time_point now);

    /// Earns budget; called once for each call that was answered.
    void answered(time_point now);

private:
    routing_options m_options;
    retry_budget m_resends;
    retry_budget m_retries;
};

} // namespace pomelohead::routing
