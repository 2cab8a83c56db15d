#include "pomelohead/routing/retry_policy.h"

namespace pomelohead::routing {
namespace {

// Share of the resend budget that is reserved for urgent calls.
constexpr double urgent_reserved_share = 0.5;

// Share of a service's retry budget that hedges leave to retries of failures.
constexpr double retry_reserved_share = 0.5;

} // namespace

retry_policy::retry_policy(const routing_options& options)
    : m_options(options),
      // Starts full: a resend adds no load to targets, and part of the budget is reserved.
      m_resend_budget(options.m_resend_share, options.m_budget_floor_per_s, options.m_resend_cap,
                      options.m_resend_cap)
{
}

retry_budget& retry_policy::retry_budget_for(const std::string& service)
{
    return m_retry_budgets
        .try_emplace(service, m_options.m_retry_share, m_options.m_budget_floor_per_s,
                     m_options.m_budget_cap)
        .first->second;
}

bool retry_policy::may_resend(const call_attributes& call, duration elapsed, time_point now)
{
    const bool is_short = call.m_class == config::work_class::short_work;
    if (is_short && elapsed > m_options.m_resend_window) {
        return false;
    }
    const double reserved_share =
        call.m_urgency == config::urgency::urgent ? 0 : urgent_reserved_share;
    // Nothing was executed, so resends do not multiply along the call chain: depth is 0.
    return !m_options.m_retry_budget || m_resend_budget.try_take(now, 0, reserved_share);
}

bool retry_policy::may_retry(const call_attributes& call, time_point now,
                             const std::string& service)
{
    return call.m_idempotent && may_retry_refused(call, now, service);
}

bool retry_policy::may_retry_refused(const call_attributes& call, time_point now,
                                     const std::string& service)
{
    return !m_options.m_retry_budget || retry_budget_for(service).try_take(now, call.m_depth);
}

bool retry_policy::may_hedge(const call_attributes& call, time_point now,
                             const std::string& service)
{
    return !m_options.m_retry_budget ||
           retry_budget_for(service).try_take(now, call.m_depth, retry_reserved_share);
}

void retry_policy::record_success(time_point now, const std::string& service)
{
    m_resend_budget.record_success(now);
    retry_budget_for(service).record_success(now);
}

} // namespace pomelohead::routing
