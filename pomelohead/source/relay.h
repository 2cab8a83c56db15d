// The store's changes as one node serves them to others.
//
// The relay keeps the newest value of each key, and a tombstone for each removed key. It
// numbers changes with a counter of its own, the cursor; a follower that has all changes up
// to a cursor asks for the later ones. Of several changes to one key it gets only the newest.
// A cursor of another relay or of another start, or one from before the oldest tombstone that
// is still kept, has no answer: the follower must list again. A follower that comes from
// another relay or from the store lists with the revision that it has, and gets the values of
// the keys that changed since and only the names of the others.
//
// A value that a restored store still has is no change. Its key keeps the revision from before
// the restore too, so that followers recognise what they have.
//
//     relay feed(incarnation);
//     feed.put({.m_key = "a", .m_revision = {1, 7}, .m_value = "1"});
//     relayed_changes all = feed.list({});
//     std::optional<relayed_changes> later = feed.changes_after(all.m_cursor);
#pragma once

#include "pomelohead/source/key_value.h"
#include "pomelohead/source/packed_value.h"

#include <algorithm>
#include <functional>
#include <map>

namespace pomelohead::source {

/// The newest state of one key.
struct relayed_item {
    std::string m_key;
    store_revision m_revision;
    std::optional<packed_value> m_value; ///< nothing if the key was removed

    bool operator==(const relayed_item&) const = default;
};

/// A position in the changes that one start of a relay has seen.
struct relay_cursor {
    std::uint64_t m_start = 0;  ///< tells the starts of all relays apart
    std::uint64_t m_number = 0; ///< of the latest change

    bool operator==(const relay_cursor&) const = default;
};

/// The changes between two cursors.
struct relayed_changes {
    relay_cursor m_cursor;
    store_revision m_revision; ///< the store's revision of the newest change to this part
    /// The store's revision up to which the relay has all changes, so that a follower can watch the
    /// store after it; none while that is not certain.
    store_revision m_complete_revision;
    std::vector<relayed_item> m_items;
    std::vector<key_revision> m_unchanged; ///< list only: present keys that the follower has
    std::vector<std::string> m_relays; ///< addresses of the nodes that can relay, this one included

    bool operator==(const relayed_changes&) const = default;
};

/// From where a node has the changes that it relays.
enum class relay_feed {
    none,   ///< nothing yet, or contact is lost
    relays, ///< another relay
    store,
};

/// The newest state of one part of the store.
class relay {
public:
    /// `start` must differ from that of earlier processes on the same host.
    explicit relay(std::uint64_t start) : m_cursor{start, 0} {}

    void put(const key_change& change);

    /// Records that the store has a change that does not replace what this node has.
    void keep(const store_revision& revision) { m_revision = std::max(m_revision, revision); }

    void remove(const std::string& key, const store_revision& revision);

    /// Sets from where this node has the changes at the moment.
    void set_feed(relay_feed feed);
    [[nodiscard]] relay_feed feed() const { return m_feed; }

    /// Sets relayed_changes::m_complete_revision of the answers from now on.
    void set_complete_revision(const store_revision& revision) { m_complete_revision = revision; }

    /// Sets the time up to which this node knows all changes.
    void set_as_of(const std::optional<time_point>& as_of);
    [[nodiscard]] const std::optional<time_point>& as_of() const { return m_as_of; }

    [[nodiscard]] const relay_cursor& cursor() const { return m_cursor; }

    /// All present keys, with the values that are newer than `known_revision`.
    [[nodiscard]] relayed_changes list(const store_revision& known_revision);

    /// The changes after `cursor`. Returns nothing if the relay cannot tell what changed since.
    [[nodiscard]] std::optional<relayed_changes> changes_after(const relay_cursor& cursor);

    /// Called after each change to a key, to feed() or to as_of().
    std::function<void()> m_on_change = [] {};

private:
    // Values are packed on the first request for them: most nodes never get a request.
    struct entry {
        store_revision m_revision;
        store_revision m_earlier_revision; ///< see key_revision
        std::uint64_t m_change = 0;        ///< the number of its latest change
        bool m_is_tombstone = false;
        std::string m_value;
        std::optional<packed_value> m_packed_value;
    };

    [[nodiscard]] static bool has_value(const entry& state, const std::string& value);
    void evict_old_tombstones();
    [[nodiscard]] relayed_changes empty_changes() const
    {
        return {m_cursor, m_revision, m_complete_revision, {}, {}, {}};
    }
    [[nodiscard]] static relayed_item to_item(const std::string& key, entry& state);

    relay_cursor m_cursor;
    std::uint64_t m_oldest_change = 0; ///< cursors before this change cannot be answered
    store_revision m_revision;
    store_revision m_complete_revision;
    relay_feed m_feed = relay_feed::none;
    std::optional<time_point> m_as_of;
    std::map<std::string, entry> m_entries;
    std::size_t m_tombstone_count = 0; ///< entries that are tombstones
};

} // namespace pomelohead::source
