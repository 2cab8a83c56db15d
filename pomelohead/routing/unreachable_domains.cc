#include "pomelohead/routing/unreachable_domains.h"

#include <algorithm>

namespace pomelohead::routing {

bool unreachable_domains::record_silence(const std::string& domain, const std::string& address,
                                         time_point now)
{
    domain_state& state = m_domains[domain];
    if (now < state.m_retry_at) {
        return false; // requests that were sent before it was unreachable
    }
    std::erase_if(state.m_silent_hosts,
                  [now](const auto& host) { return now - host.second > window; });
    state.m_silent_hosts[address] = now;
    const bool was_unreachable = state.m_backoff > duration::zero();
    if (!was_unreachable && state.m_silent_hosts.size() < min_silent_hosts) {
        return false;
    }
    state.m_backoff =
        was_unreachable ? std::min(2 * state.m_backoff, max_backoff) : initial_backoff;
    state.m_retry_at = now + state.m_backoff;
    return true;
}

bool unreachable_domains::is_unreachable(const std::string& domain, time_point now) const
{
    const auto it = m_domains.find(domain);
    return it != m_domains.end() && now < it->second.m_retry_at;
}

} // namespace pomelohead::routing
