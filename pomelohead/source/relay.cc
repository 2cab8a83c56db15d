#include "pomelohead/source/relay.h"

#include <algorithm>

namespace pomelohead::source {
namespace {

// Some minutes of targets that come and go; who has missed more lists again.
constexpr std::size_t max_removed = 256;

} // namespace

void relay::put(const key_change& change)
{
    item& held = m_items[change.m_key];
    m_removed -= held.m_removed ? 1 : 0;
    held = {change.m_revision, ++m_cursor, false, *change.m_value, std::nullopt};
    m_revision = std::max(m_revision, change.m_revision);
    m_on_change();
}

void relay::remove(const std::string& key, std::uint64_t revision)
{
    const auto it = m_items.find(key);
    if (it == m_items.end() || it->second.m_removed) {
        return;
    }
    it->second = {std::max(revision, it->second.m_revision), ++m_cursor, true, {}, std::nullopt};
    m_revision = std::max(m_revision, it->second.m_revision);
    ++m_removed;
    forget_old_removals();
    m_on_change();
}

void relay::forget_old_removals()
{
    while (m_removed > max_removed) {
        auto oldest = m_items.end();
        for (auto it = m_items.begin(); it != m_items.end(); ++it) {
            if (it->second.m_removed &&
                (oldest == m_items.end() || it->second.m_cursor < oldest->second.m_cursor)) {
                oldest = it;
            }
        }
        m_known_from = oldest->second.m_cursor;
        m_items.erase(oldest);
        --m_removed;
    }
}

void relay::set_in_touch(bool in_touch)
{
    if (std::exchange(m_in_touch, in_touch) != in_touch) {
        m_on_change();
    }
}

std::optional<relayed_changes> relay::after(std::optional<std::uint64_t> cursor)
{
    if (cursor && (*cursor < m_known_from || *cursor > m_cursor)) {
        return std::nullopt;
    }
    relayed_changes changes{m_cursor, m_revision, {}};
    for (auto& [key, held] : m_items) {
        if (cursor ? held.m_cursor <= *cursor : held.m_removed) {
            continue;
        }
        if (!held.m_removed && !held.m_packed) {
            held.m_packed = pack(std::exchange(held.m_value, {}));
        }
        changes.m_items.push_back({key, held.m_revision, held.m_packed});
    }
    return changes;
}

} // namespace pomelohead::source
