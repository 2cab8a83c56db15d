// What a node tells others of the store's changes.
//
// The relay keeps the newest value of each key, and of removed keys that they are gone.
// Every change gets the next number of the relay's own counter, its cursor; who has heard
// all up to a cursor asks for what came after it. Changes of one key in quick succession
// are told as one. A cursor of another relay, or one from before the oldest removal that
// is still known, is answered by "forgotten": the other side lists again.
//
//     relay news(incarnation);
//     news.put({.m_key = "a", .m_revision = 7, .m_value = "1"});
//     std::optional<relayed_changes> all = news.after(std::nullopt);
//     std::optional<relayed_changes> later = news.after(all->m_cursor);
#pragma once

#include "pomelohead/source/key_value.h"
#include "pomelohead/source/packed_value.h"

#include <functional>
#include <map>

namespace pomelohead::source {

/// A key as a relay tells it; no value: the key was removed.
struct relayed_item {
    std::string m_key;
    std::uint64_t m_revision = 0;
    std::optional<packed_value> m_value;

    bool operator==(const relayed_item&) const = default;
};

/// All that changed between two cursors.
struct relayed_changes {
    std::uint64_t m_cursor = 0;
    std::uint64_t m_revision = 0; ///< of the newest change of the part that the relay knows
    std::vector<relayed_item> m_items;

    bool operator==(const relayed_changes&) const = default;
};

/// The newest state of one part of the store.
class relay {
public:
    /// `first_cursor` must be above all cursors of earlier starts on the same host.
    explicit relay(std::uint64_t first_cursor) : m_cursor(first_cursor), m_known_from(first_cursor)
    {
    }

    void put(const key_change& change);
    void remove(const std::string& key, std::uint64_t revision);

    /// Whether the node itself is in touch with the store.
    void set_in_touch(bool in_touch);
    [[nodiscard]] bool in_touch() const { return m_in_touch; }

    [[nodiscard]] std::uint64_t cursor() const { return m_cursor; }

    /// What came after `cursor`, or all that is there without one; nothing where that is
    /// not known any more.
    [[nodiscard]] std::optional<relayed_changes> after(std::optional<std::uint64_t> cursor);

    /// Called after each change of the values or of in_touch().
    std::function<void()> m_on_change = [] {};

private:
    // Values are packed when they are first asked for: most nodes are never asked.
    struct item {
        std::uint64_t m_revision = 0;
        std::uint64_t m_cursor = 0;
        bool m_removed = false;
        std::string m_value;
        std::optional<packed_value> m_packed;
    };

    void forget_old_removals();

    std::uint64_t m_cursor;
    std::uint64_t m_known_from; ///< cursors below it are forgotten
    std::uint64_t m_revision = 0;
    bool m_in_touch = false;
    std::map<std::string, item> m_items;
    std::size_t m_removed = 0; ///< items that are removed
};

} // namespace pomelohead::source
