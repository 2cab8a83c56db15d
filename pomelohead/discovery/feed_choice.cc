#include "pomelohead/discovery/feed_choice.h"

#include "pomelohead/membership/overlay.h"

#include <algorithm>

namespace pomelohead::discovery {

void feed_choice::set_members(const std::vector<std::string>& addresses)
{
    m_first = membership::first_watcher(addresses);
    std::erase_if(m_passed_over_until, [&](const auto& item) {
        return std::ranges::find(addresses, item.first) == addresses.end();
    });
}

void feed_choice::failed(const std::string& relay, time_point now)
{
    m_passed_over_until[relay] = now + retry_after;
}

std::optional<std::string> feed_choice::choose(time_point now) const
{
    if (m_first.empty() || is_relay()) {
        return std::nullopt;
    }
    const auto passed_over = m_passed_over_until.find(m_first);
    if (passed_over != m_passed_over_until.end() && now < passed_over->second) {
        return std::nullopt;
    }
    return m_first;
}

} // namespace pomelohead::discovery
