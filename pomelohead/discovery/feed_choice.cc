#include "pomelohead/discovery/feed_choice.h"

#include "pomelohead/membership/overlay.h"

#include <algorithm>

namespace pomelohead::discovery {

void feed_choice::set_members(std::vector<std::string> addresses)
{
    m_ranked = membership::by_rendezvous(std::move(addresses));
    std::erase_if(m_pauses, [this](const auto& item) {
        return std::ranges::find(m_ranked, item.first) == m_ranked.end();
    });
}

void feed_choice::failed(const std::string& relay, time_point now)
{
    constexpr unsigned most_doublings = 5; // reaches longest_pause
    pause& entry = m_pauses[relay];
    const unsigned doublings = std::min(entry.m_failures, most_doublings);
    entry.m_until = now + std::min(first_pause * (1U << doublings), longest_pause);
    ++entry.m_failures;
}

void feed_choice::declined(const std::string& relay, time_point now)
{
    m_pauses[relay] = {now + longest_pause, 0};
}

bool feed_choice::is_paused(const std::string& relay, time_point now) const
{
    const auto it = m_pauses.find(relay);
    return it != m_pauses.end() && now < it->second.m_until;
}

std::optional<std::string> feed_choice::choose(time_point now) const
{
    for (const std::string& address : m_ranked) {
        if (address == m_self) {
            if (m_can_relay) {
                return std::nullopt;
            }
        }
        else if (!is_paused(address, now)) {
            return address;
        }
    }
    return std::nullopt;
}

std::optional<duration> feed_choice::settled_for(time_point now) const
{
    if (m_ranked.empty() || choose(now)) {
        return duration::zero();
    }
    // Nodes that declined hardly change their minds: they are no reason to look again soon.
    std::optional<duration> first;
    for (const auto& [relay, entry] : m_pauses) {
        if (entry.m_failures > 0 && (!first || entry.m_until - now < *first)) {
            first = entry.m_until - now;
        }
    }
    return first;
}

bool feed_choice::is_relay(time_point now) const
{
    return m_can_relay && !choose(now) && std::ranges::find(m_ranked, m_self) != m_ranked.end();
}

} // namespace pomelohead::discovery
