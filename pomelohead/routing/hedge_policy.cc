#include "pomelohead/routing/hedge_policy.h"

#include <algorithm>

namespace pomelohead::routing {
namespace {

// With fewer samples the latency quantile of a route is unreliable.
constexpr std::uint64_t min_samples = 50;

} // namespace

hedge_policy::hedge_policy(const routing_options& options) : m_options(options)
{
}

hedge_limit& hedge_policy::limit_of(const std::string& service)
{
    return m_limits.try_emplace(service, m_options.m_hedge_share, m_options.m_hedge_window)
        .first->second;
}

std::optional<duration> hedge_policy::delay_for(const std::string& route,
                                                const call_attributes& call) const
{
    if (!is_on() || !call.m_idempotent || call.m_class == config::work_class::long_work) {
        return std::nullopt;
    }
    const auto it = m_latency_by_route.find(route);
    if (it == m_latency_by_route.end() || it->second.count() < min_samples) {
        return std::nullopt;
    }
    return std::max<duration>(it->second.value(), m_options.m_min_hedge_delay);
}

void hedge_policy::record_request(const std::string& service, time_point now)
{
    limit_of(service).record_request(now);
}

bool hedge_policy::may_hedge(const std::string& service, time_point now)
{
    return is_on() && limit_of(service).may_hedge(now);
}

void hedge_policy::record_hedge(const std::string& service, time_point now)
{
    limit_of(service).record_hedge(now);
}

void hedge_policy::record_success(const std::string& route, duration latency)
{
    m_latency_by_route.try_emplace(route, m_options.m_hedge_quantile).first->second.add(latency);
}

void hedge_policy::retain(const config::snapshot& config)
{
    std::erase_if(m_limits,
                  [&](const auto& item) { return config.find_service(item.first) == nullptr; });
    std::erase_if(m_latency_by_route, [&](const auto& item) {
        return config.find_route_by_name(item.first) == nullptr;
    });
}

} // namespace pomelohead::routing
