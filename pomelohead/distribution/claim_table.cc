#include "pomelohead/distribution/claim_table.h"

#include <limits>

namespace pomelohead::distribution {
namespace {

// Claimed versions that are remembered; the lowest is evicted.
constexpr std::size_t max_claimed_versions = 8;

} // namespace

bool claim_table::add(const std::string& address, const version_id& id, time_point now)
{
    std::erase_if(m_rejected_claims, [&](const auto& entry) { return entry.second <= now; });
    if (m_rejected_claims.contains({address, id})) {
        m_claims.erase(address);
        return false;
    }
    claim& existing_claim = m_claims[address];
    if (existing_claim.m_id == id) {
        return true;
    }
    existing_claim = {id, 0};
    m_claimants_by_version[id].insert(address);
    if (m_claimants_by_version.size() > max_claimed_versions) {
        m_claimants_by_version.erase(m_claimants_by_version.begin());
    }
    return true;
}

std::vector<std::string> claim_table::holders(const version_id& id) const
{
    std::vector<std::string> result;
    unsigned fewest = std::numeric_limits<unsigned>::max();
    for (const auto& [address, existing_claim] : m_claims) {
        if (existing_claim.m_id != id) {
            continue;
        }
        const auto it = m_timeouts.find(address);
        const unsigned failures = it == m_timeouts.end() ? 0 : it->second;
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

bool claim_table::has_no_responsive_holder(const version_id& id) const
{
    for (const auto& [address, existing_claim] : m_claims) {
        if (existing_claim.m_id == id && !m_timeouts.contains(address)) {
            return false;
        }
    }
    return true;
}

std::optional<version_id> claim_table::drop(const std::string& address, time_point until)
{
    const auto it = m_claims.find(address);
    if (it == m_claims.end()) {
        return std::nullopt;
    }
    version_id id = it->second.m_id;
    m_claims.erase(it);
    m_rejected_claims[{address, id}] = until;
    if (const auto heard = m_claimants_by_version.find(id); heard != m_claimants_by_version.end()) {
        heard->second.erase(address);
        if (heard->second.empty()) {
            m_claimants_by_version.erase(heard);
        }
    }
    return id;
}

std::optional<version_id> claim_table::record_empty_answer(const std::string& address,
                                                           time_point now)
{
    const auto it = m_claims.find(address);
    if (it == m_claims.end() || ++it->second.m_empty_answers < m_options.m_max_empty_answers) {
        return std::nullopt;
    }
    return drop(address, now + m_options.m_empty_claim_timeout);
}

std::optional<version_id> claim_table::reject_claim(const std::string& address, time_point now)
{
    return drop(address, now + m_options.m_false_claim_timeout);
}

void claim_table::forget(const version_id& id)
{
    m_claimants_by_version.erase(id);
    std::erase_if(m_claims, [&](const auto& entry) { return entry.second.m_id == id; });
}

void claim_table::set_in_force(const version_id& id)
{
    std::erase_if(m_claimants_by_version,
                  [&](const auto& entry) { return entry.first.m_version <= id.m_version; });
    std::erase_if(m_claims,
                  [&](const auto& entry) { return entry.second.m_id.m_version <= id.m_version; });
}

std::set<version_id> claim_table::versions() const
{
    std::set<version_id> result;
    for (const auto& [address, existing_claim] : m_claims) {
        result.insert(existing_claim.m_id);
    }
    return result;
}

config::version_number claim_table::highest_claimed_version() const
{
    return m_claimants_by_version.empty() ? 0 : m_claimants_by_version.rbegin()->first.m_version;
}

} // namespace pomelohead::distribution
