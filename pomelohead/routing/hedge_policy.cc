#include "pomelohead/routing/hedge_policy.h"

#include <algorithm>

namespace pomelohead::routing {
namespace {

// With fewer samples the latency quantile of a service is unreliable.
constexpr std::uint64_t min_samples = 50;

} // namespace

hedge_policy::hedge_policy(const routing_options& options)
    : m_options(options), m_budget(options.m_hedge_share, 0, options.m_budget_cap)
{
}

std::optional<duration> hedge_policy::delay_for(const std::string& service,
                                                const call_attributes& call, time_point now)
{
    if (!m_options.m_hedging || !call.m_idempotent ||
        call.m_class == config::work_class::long_work) {
        return std::nullopt;
    }
    const auto it = m_latency_by_service.find(service);
    if (it == m_latency_by_service.end() || it->second.count() < min_samples ||
        !m_budget.can_take(now, call.m_depth)) {
        return std::nullopt;
    }
    return std::max<duration>(it->second.value(), m_options.m_min_hedge_delay);
}

bool hedge_policy::try_take(time_point now, std::uint32_t depth)
{
    return m_options.m_hedging && m_budget.try_take(now, depth);
}

void hedge_policy::record_success(const std::string& service, duration latency, time_point now)
{
    const auto it = m_latency_by_service.try_emplace(service, m_options.m_hedge_quantile).first;
    it->second.add(latency);
    m_budget.record_success(now);
}

} // namespace pomelohead::routing
