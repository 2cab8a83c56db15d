#include "pomelohead/routing/lost_hosts.h"

#include <algorithm>

namespace pomelohead::routing {

void lost_hosts::failed(const std::string& address, time_point now)
{
    record& host = m_hosts[address];
    if (now < host.m_until) {
        return; // calls that were under way fail together: one failure
    }
    host.m_hold =
        host.m_hold == duration::zero() ? first_hold : std::min(2 * host.m_hold, longest_hold);
    host.m_until = now + host.m_hold;
}

bool lost_hosts::is_lost(const std::string& address, time_point now) const
{
    const auto it = m_hosts.find(address);
    return it != m_hosts.end() && now < it->second.m_until;
}

} // namespace pomelohead::routing
