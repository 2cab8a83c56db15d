#include "pomelohead/routing/unreachable_hosts.h"

#include <algorithm>

namespace pomelohead::routing {

void unreachable_hosts::record_failure(const std::string& address, time_point now)
{
    host_state& host = m_hosts[address];
    if (now < host.m_retry_at) {
        return; // concurrent calls that fail together count as one failure
    }
    host.m_backoff = host.m_backoff == duration::zero() ? initial_backoff
                                                        : std::min(2 * host.m_backoff, max_backoff);
    host.m_retry_at = now + host.m_backoff;
}

bool unreachable_hosts::is_unreachable(const std::string& address, time_point now) const
{
    const auto it = m_hosts.find(address);
    return it != m_hosts.end() && now < it->second.m_retry_at;
}

} // namespace pomelohead::routing
