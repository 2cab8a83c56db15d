#include "pomelohead/discovery/relay_selector.h"

#include "pomelohead/membership/overlay.h"

#include <algorithm>

namespace pomelohead::discovery {

void relay_selector::set_members(std::vector<std::string> addresses)
{
    m_ranked = membership::sort_by_rendezvous_score(std::move(addresses));
    std::erase_if(m_backoffs, [this](const auto& item) {
        return std::ranges::find(m_ranked, item.first) == m_ranked.end();
    });
}

void relay_selector::record_failure(const std::string& relay, time_point now)
{
    constexpr unsigned max_doublings = 5; // reaches max_backoff
    backoff& entry = m_backoffs[relay];
    const unsigned doublings = std::min(entry.m_failures, max_doublings);
    entry.m_retry_at = now + std::min(initial_backoff * (1U << doublings), max_backoff);
    ++entry.m_failures;
}

void relay_selector::record_decline(const std::string& relay, time_point now)
{
    m_backoffs[relay] = {now + max_backoff, 0};
}

bool relay_selector::is_backing_off(const std::string& relay, time_point now) const
{
    const auto it = m_backoffs.find(relay);
    return it != m_backoffs.end() && now < it->second.m_retry_at;
}

std::optional<std::string> relay_selector::choose(time_point now) const
{
    for (const std::string& address : m_ranked) {
        if (address == m_self) {
            if (m_can_relay) {
                return std::nullopt;
            }
        }
        else if (!is_backing_off(address, now)) {
            return address;
        }
    }
    return std::nullopt;
}

std::optional<duration> relay_selector::time_until_change(time_point now) const
{
    if (m_ranked.empty() || choose(now)) {
        return duration::zero();
    }
    // Nodes that declined rarely become able to relay, so their backoff is not considered.
    std::optional<duration> earliest_retry;
    for (const auto& [relay, entry] : m_backoffs) {
        if (entry.m_failures > 0 && (!earliest_retry || entry.m_retry_at - now < *earliest_retry)) {
            earliest_retry = entry.m_retry_at - now;
        }
    }
    return earliest_retry;
}

bool relay_selector::is_relay(time_point now) const
{
    return m_can_relay && !choose(now) && std::ranges::find(m_ranked, m_self) != m_ranked.end();
}

} // namespace pomelohead::discovery
