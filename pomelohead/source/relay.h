// The store's changes as one node serves them to others.
//
// The relay keeps the newest value of each key, and a tombstone for each removed key. It
// numbers changes with a counter of its own, the cursor; a follower that has all changes up
// to a cursor asks for the later ones. Of several changes to one key it gets only the
// newest. A cursor of another relay, or one from before the oldest tombstone that is still
// kept, has no answer: the follower must list again.
//
//     relay feed(incarnation);
//     feed.put({.m_key = "a", .m_revision = 7, .m_value = "1"});
//     std::optional<relayed_changes> all = feed.changes_after(std::nullopt);
//     std::optional<relayed_changes> later = feed.changes_after(all->m_cursor);
#pragma once

#include "pomelohead/source/key_value.h"
#include "pomelohead/source/packed_value.h"

#include <functional>
#include <map>

namespace pomelohead::source {

/// The newest state of one key.
struct relayed_item {
    std::string m_key;
    std::uint64_t m_revision = 0;
    std::optional<packed_value> m_value; ///< nothing if the key was removed

    bool operator==(const relayed_item&) const = default;
};

/// The changes between two cursors.
struct relayed_changes {
    std::uint64_t m_cursor = 0;
    std::uint64_t m_revision = 0; ///< the store's revision of the newest change to this part
    std::vector<relayed_item> m_items;

    bool operator==(const relayed_changes&) const = default;
};

/// The newest state of one part of the store.
class relay {
public:
    /// `first_cursor` must exceed all cursors of earlier processes on the same host.
    explicit relay(std::uint64_t first_cursor)
        : m_cursor(first_cursor), m_oldest_cursor(first_cursor)
    {
    }

    void put(const key_change& change);
    void remove(const std::string& key, std::uint64_t revision);

    /// Whether this node itself has contact with the store.
    void set_has_store_contact(bool in_touch);
    [[nodiscard]] bool has_store_contact() const { return m_has_store_contact; }

    [[nodiscard]] std::uint64_t cursor() const { return m_cursor; }

    /// The changes after `cursor`, or all present keys without a cursor. Returns nothing if
    /// the relay cannot tell what changed since `cursor`.
    [[nodiscard]] std::optional<relayed_changes> changes_after(std::optional<std::uint64_t> cursor);

    /// Called after each change to a key or to in_touch().
    std::function<void()> m_on_change = [] {};

private:
    // Values are packed on the first request for them: most nodes never get a request.
    struct entry {
        std::uint64_t m_revision = 0;
        std::uint64_t m_cursor = 0;
        bool m_is_tombstone = false;
        std::string m_value;
        std::optional<packed_value> m_packed_value;
    };

    void evict_old_tombstones();

    std::uint64_t m_cursor;
    std::uint64_t m_oldest_cursor; ///< older cursors cannot be answered
    std::uint64_t m_revision = 0;
    bool m_has_store_contact = false;
    std::map<std::string, entry> m_entries;
    std::size_t m_tombstone_count = 0; ///< entries that are tombstones
};

} // namespace pomelohead::source
