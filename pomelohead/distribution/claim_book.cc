#include "pomelohead/distribution/claim_book.h"

#include <limits>

namespace pomelohead::distribution {
namespace {

// Versions that are remembered as heard of; the highest are kept.
constexpr std::size_t max_heard_versions = 8;

} // namespace

bool claim_book::add(const std::string& address, const version_id& id, time_point now)
{
    std::erase_if(m_discredited, [&](const auto& entry) { return entry.second <= now; });
    if (m_discredited.contains({address, id})) {
        m_claims.erase(address);
        return false;
    }
    claim& held = m_claims[address];
    if (held.m_id == id) {
        return true;
    }
    held = {id, 0};
    m_heard[id].insert(address);
    if (m_heard.size() > max_heard_versions) {
        m_heard.erase(m_heard.begin());
    }
    return true;
}

std::vector<std::string> claim_book::holders(const version_id& id) const
{
    std::vector<std::string> result;
    unsigned fewest = std::numeric_limits<unsigned>::max();
    for (const auto& [address, held] : m_claims) {
        if (held.m_id != id) {
            continue;
        }
        const auto it = m_unanswered.find(address);
        const unsigned failures = it == m_unanswered.end() ? 0 : it->second;
        if (failures < fewest) {
            fewest = failures;
            result.clear();
        }
        if (failures == fewest) {
            result.push_back(address);
        }
    }
    return result;
}

bool claim_book::are_holders_silent(const version_id& id) const
{
    for (const auto& [address, held] : m_claims) {
        if (held.m_id == id && !m_unanswered.contains(address)) {
            return false;
        }
    }
    return true;
}

std::optional<version_id> claim_book::drop(const std::string& address, time_point until)
{
    const auto it = m_claims.find(address);
    if (it == m_claims.end()) {
        return std::nullopt;
    }
    version_id id = it->second.m_id;
    m_claims.erase(it);
    m_discredited[{address, id}] = until;
    if (const auto heard = m_heard.find(id); heard != m_heard.end()) {
        heard->second.erase(address);
        if (heard->second.empty()) {
            m_heard.erase(heard);
        }
    }
    return id;
}

std::optional<version_id> claim_book::strike(const std::string& address, time_point now)
{
    const auto it = m_claims.find(address);
    if (it == m_claims.end() || ++it->second.m_strikes < m_options.m_max_strikes) {
        return std::nullopt;
    }
    return drop(address, now + m_options.m_silent_pause);
}

std::optional<version_id> claim_book::discredit(const std::string& address, time_point now)
{
    return drop(address, now + m_options.m_false_pause);
}

void claim_book::forget(const version_id& id)
{
    m_heard.erase(id);
    std::erase_if(m_claims, [&](const auto& entry) { return entry.second.m_id == id; });
}

void claim_book::set_in_force(const version_id& id)
{
    std::erase_if(m_heard,
                  [&](const auto& entry) { return entry.first.m_version <= id.m_version; });
    std::erase_if(m_claims,
                  [&](const auto& entry) { return entry.second.m_id.m_version <= id.m_version; });
}

std::set<version_id> claim_book::versions() const
{
    std::set<version_id> result;
    for (const auto& [address, held] : m_claims) {
        result.insert(held.m_id);
    }
    return result;
}

config::version_number claim_book::heard_version() const
{
    return m_heard.empty() ? 0 : m_heard.rbegin()->first.m_version;
}

} // namespace pomelohead::distribution
