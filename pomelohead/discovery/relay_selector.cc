#include "pomelohead/discovery/relay_selector.h"

#include "pomelohead/membership/overlay.h"

#include <algorithm>

namespace pomelohead::discovery {
namespace {

// Three relays in each of a few dozen failure domains; more are not remembered.
constexpr std::size_t max_known_relays = 128;

} // namespace

void relay_selector::set_members(std::vector<std::string> addresses)
{
    m_ranked = membership::sort_by_rendezvous_score(std::move(addresses));
    std::erase_if(m_backoffs, [this](const auto& item) {
        return std::ranges::find(m_ranked, item.first) == m_ranked.end();
    });
}

void relay_selector::add_relays(const std::vector<std::string>& addresses)
{
    for (const std::string& address : addresses) {
        if (address == m_self) {
            continue;
        }
        if (m_relays.size() >= max_known_relays) {
            std::erase_if(m_relays, [this](const std::string& known) {
                return std::ranges::find(m_ranked, known) == m_ranked.end();
            });
        }
        if (m_relays.size() < max_known_relays) {
            m_relays.insert(address);
        }
    }
}

void relay_selector::record_failure(const std::string& relay, time_point now)
{
    constexpr unsigned max_doublings = 1; // reaches max_backoff
    backoff& entry = m_backoffs[relay];
    const unsigned doublings = std::min(entry.m_failures, max_doublings);
    entry.m_retry_at = now + std::min(initial_backoff * (1U << doublings), max_backoff);
    ++entry.m_failures;
}

void relay_selector::record_not_ready(const std::string& relay, time_point now)
{
    backoff& entry = m_backoffs[relay];
    entry.m_retry_at = std::max(entry.m_retry_at, now + not_ready_backoff);
    entry.m_failures = std::max(entry.m_failures, 1U);
}

void relay_selector::record_decline(const std::string& relay, time_point now)
{
    m_relays.erase(relay);
    m_backoffs[relay] = {now + decline_backoff, 0};
}

bool relay_selector::is_backing_off(const std::string& relay, time_point now) const
{
    const auto it = m_backoffs.find(relay);
    return it != m_backoffs.end() && now < it->second.m_retry_at;
}

bool relay_selector::is_preferred(const std::string& address) const
{
    return address == m_self ? m_role == relay_role::preferred : m_relays.contains(address);
}

bool relay_selector::knows_other_relay() const
{
    return std::ranges::any_of(
        m_ranked, [this](const std::string& address) { return m_relays.contains(address); });
}

bool relay_selector::may_relay(bool others_preferred) const
{
    return m_role == relay_role::preferred || (m_role == relay_role::fallback && !others_preferred);
}

std::optional<std::string> relay_selector::choose(time_point now) const
{
    const bool others_preferred = knows_other_relay();
    for (const std::string& address : m_ranked) {
        if (address == m_self) {
            if (may_relay(others_preferred)) {
                return std::nullopt;
            }
        }
        else if ((!others_preferred || is_preferred(address)) && !is_backing_off(address, now)) {
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
    return may_relay(knows_other_relay()) && !choose(now) &&
           std::ranges::find(m_ranked, m_self) != m_ranked.end();
}

std::vector<std::string> relay_selector::relays() const
{
    std::vector<std::string> out;
    std::ranges::copy_if(m_ranked, std::back_inserter(out),
                         [this](const std::string& address) { return is_preferred(address); });
    return out;
}

std::vector<std::string> relay_selector::all_relays() const
{
    std::vector<std::string> out(m_relays.begin(), m_relays.end());
    if (m_role == relay_role::preferred) {
        out.push_back(m_self);
    }
    return out;
}

} // namespace pomelohead::discovery
