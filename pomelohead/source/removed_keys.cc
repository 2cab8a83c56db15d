#include "pomelohead/source/removed_keys.h"

#include <algorithm>

namespace pomelohead::source {

void removed_keys::add(const std::string& key, const store_revision& revision)
{
    const auto it = m_revisions.find(key);
    const store_revision latest =
        it != m_revisions.end() ? std::max(it->second, revision) : revision;
    erase(key);
    m_revisions.emplace(key, latest);
    m_oldest_first.emplace(latest, key);
    if (m_revisions.size() > max_removals) {
        const std::string oldest = m_oldest_first.begin()->second;
        erase(oldest);
    }
}

bool removed_keys::covers(const std::string& key, const store_revision& revision) const
{
    const auto it = m_revisions.find(key);
    return it != m_revisions.end() && revision <= it->second;
}

void removed_keys::erase(const std::string& key)
{
    const auto it = m_revisions.find(key);
    if (it != m_revisions.end()) {
        m_oldest_first.erase({it->second, key});
        m_revisions.erase(it);
    }
}

} // namespace pomelohead::source
