#include "pomelohead/distribution/assembly.h"

#include <algorithm>

namespace pomelohead::distribution {

std::optional<version_id> assembly::add(const std::string& manifest_bytes, reason& why)
{
    std::optional<config::manifest> parsed = config::parse_manifest(manifest_bytes, why);
    if (!parsed) {
        return std::nullopt;
    }
    version_id id{parsed->m_version, config::content_hash(manifest_bytes)};
    m_candidates.try_emplace(id, candidate{manifest_bytes, std::move(parsed->m_sections)});
    if (m_candidates.size() > max_candidates) {
        m_candidates.erase(m_candidates.begin());
        drop_unused_sections();
    }
    return id;
}

std::string assembly::add_section(std::string bytes)
{
    std::string hash = config::content_hash(bytes);
    m_sections.insert_or_assign(hash, std::move(bytes));
    return hash;
}

bool assembly::is_complete(const version_id& id) const
{
    return has(id) && missing(id).empty();
}

std::vector<std::string> assembly::missing(const version_id& id) const
{
    std::set<std::string> missing_hashes;
    const auto it = m_candidates.find(id);
    if (it == m_candidates.end()) {
        return {};
    }
    for (const config::section_ref& ref : it->second.m_sections) {
        if (!m_sections.contains(ref.m_hash)) {
            missing_hashes.insert(ref.m_hash);
        }
    }
    return {missing_hashes.begin(), missing_hashes.end()};
}

const std::string* assembly::manifest_bytes(const version_id& id) const
{
    if (m_in_force && m_in_force->first == id) {
        return &m_in_force->second.m_manifest_bytes;
    }
    const auto it = m_candidates.find(id);
    return it == m_candidates.end() ? nullptr : &it->second.m_manifest_bytes;
}

const std::string* assembly::section(const std::string& hash) const
{
    const auto it = m_sections.find(hash);
    return it == m_sections.end() ? nullptr : &it->second;
}

std::vector<version_id> assembly::candidates() const
{
    std::vector<version_id> ids;
    ids.reserve(m_candidates.size());
    for (const auto& [id, unused] : m_candidates) {
        ids.push_back(id);
    }
    std::ranges::reverse(ids);
    return ids;
}

void assembly::drop(const version_id& id)
{
    m_candidates.erase(id);
    drop_unused_sections();
}

void assembly::set_in_force(const version_id& id)
{
    const auto it = m_candidates.find(id);
    if (it == m_candidates.end()) {
        return;
    }
    m_in_force = *it;
    std::erase_if(m_candidates,
                  [&](const auto& entry) { return entry.first.m_version <= id.m_version; });
    drop_unused_sections();
}

void assembly::drop_unused_sections()
{
    std::set<std::string> used;
    const auto use = [&](const candidate& item) {
        for (const config::section_ref& ref : item.m_sections) {
            used.insert(ref.m_hash);
        }
    };
    if (m_in_force) {
        use(m_in_force->second);
    }
    for (const auto& [id, item] : m_candidates) {
        use(item);
    }
    std::erase_if(m_sections, [&](const auto& entry) { return !used.contains(entry.first); });
}

} // namespace pomelohead::distribution
