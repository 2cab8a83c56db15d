#include "pomelohead/source/relay.h"

#include <algorithm>
#include <utility>

namespace pomelohead::source {
namespace {

// Covers some minutes of targets that come and go. A follower that missed more lists again.
constexpr std::size_t max_tombstones = 256;

} // namespace

void relay::put(const key_change& change)
{
    entry& state = m_entries[change.m_key];
    m_revision = std::max(m_revision, change.m_revision);
    const bool is_restored =
        compare_histories(state.m_revision, change.m_revision) == history_relation::restored;
    if (is_restored && has_value(state, *change.m_value)) {
        state.m_earlier_revision = std::exchange(state.m_revision, change.m_revision);
        return;
    }
    m_tombstone_count -= state.m_is_tombstone ? 1 : 0;
    state = {change.m_revision, {}, ++m_cursor.m_number, false, *change.m_value, std::nullopt};
    m_on_change();
}

bool relay::has_value(const entry& state, const std::string& value)
{
    reason why;
    return !state.m_is_tombstone &&
           (state.m_packed_value ? unpack(*state.m_packed_value, why) : state.m_value) == value;
}

void relay::remove(const std::string& key, const store_revision& revision)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.m_is_tombstone) {
        return;
    }
    it->second = {
        std::max(revision, it->second.m_revision), {}, ++m_cursor.m_number, true, {}, std::nullopt};
    m_revision = std::max(m_revision, it->second.m_revision);
    ++m_tombstone_count;
    evict_old_tombstones();
    m_on_change();
}

void relay::evict_old_tombstones()
{
    while (m_tombstone_count > max_tombstones) {
        auto oldest = m_entries.end();
        for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
            if (it->second.m_is_tombstone &&
                (oldest == m_entries.end() || it->second.m_change < oldest->second.m_change)) {
                oldest = it;
            }
        }
        m_oldest_change = oldest->second.m_change;
        m_entries.erase(oldest);
        --m_tombstone_count;
    }
}

void relay::set_as_of(const std::optional<time_point>& as_of)
{
    if (std::exchange(m_as_of, as_of) != as_of) {
        m_on_change();
    }
}

void relay::set_feed(relay_feed feed)
{
    if (std::exchange(m_feed, feed) != feed) {
        m_on_change();
    }
}

relayed_item relay::to_item(const std::string& key, entry& state)
{
    if (!state.m_is_tombstone && !state.m_packed_value) {
        state.m_packed_value = pack(std::exchange(state.m_value, {}));
    }
    return {key, state.m_revision, state.m_packed_value};
}

relayed_changes relay::list(const store_revision& known_revision)
{
    relayed_changes all = empty_changes();
    for (auto& [key, state] : m_entries) {
        if (state.m_is_tombstone) {
            continue;
        }
        const store_revision& oldest =
            state.m_earlier_revision.is_none() ? state.m_revision : state.m_earlier_revision;
        if (oldest <= known_revision) {
            all.m_unchanged.push_back({key, state.m_revision, state.m_earlier_revision});
        }
        else {
            all.m_items.push_back(to_item(key, state));
        }
    }
    return all;
}

std::optional<relayed_changes> relay::changes_after(const relay_cursor& cursor)
{
    if (cursor.m_start != m_cursor.m_start || cursor.m_number < m_oldest_change ||
        cursor.m_number > m_cursor.m_number) {
        return std::nullopt;
    }
    relayed_changes changes = empty_changes();
    for (auto& [key, state] : m_entries) {
        if (state.m_change > cursor.m_number) {
            changes.m_items.push_back(to_item(key, state));
        }
    }
    return changes;
}

} // namespace pomelohead::source
