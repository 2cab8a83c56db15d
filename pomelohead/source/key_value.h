// Interface of a key-value store that can be listed and watched.
//
// It is an alternative to the service of source_client.h: here the configuration is one
// value, and other values change independently of it. All keys share one history of
// revisions (revision.h).
//
//     store_answer page = store.list({.m_after = last_key});   // in a fiber
//     store_answer changes = store.watch({.m_after = page.m_revision, .m_wait = 20s});
#pragma once

#include "pomelohead/runtime/reason.h"
#include "pomelohead/runtime/timer_service.h"
#include "pomelohead/source/revision.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelohead::source {

/// The parts of a store that a node follows, each with separate calls: the configuration is
/// one large value that seldom changes, registrations are many small ones that change often.
enum class store_part { configuration, registrations };

/// A key's value at one revision, or its removal.
struct key_change {
    std::string m_key;
    store_revision m_revision;
    std::optional<std::string> m_value; ///< nothing if the key was removed

    bool operator==(const key_change&) const = default;
};

/// A present key and the revision of its value.
struct key_revision {
    std::string m_key;
    store_revision m_revision;
    /// The revision of the same value before the store was restored; none if it is not known.
    store_revision m_earlier_revision;

    bool operator==(const key_revision&) const = default;
};

/// Asks for a page of the keys, in key order.
struct list_request {
    std::string m_after; ///< the page starts after this key; empty: at the first key
    /// The caller has all changes up to this revision, so the answer may name the keys that have
    /// not changed since without their values; none: the caller has nothing.
    store_revision m_known_revision;
    milliseconds m_limit{1'500}; ///< how long the store may be silent

    bool operator==(const list_request&) const = default;
};

/// Waits for changes.
struct watch_request {
    store_revision m_after;    ///< returns changes with a revision above this one
    milliseconds m_wait{0};    ///< the store answers after this time even without changes
    milliseconds m_slack{700}; ///< how long the store may be silent beyond that

    bool operator==(const watch_request&) const = default;
};

enum class store_status {
    ok,
    history_lost, ///< the store does not have the changes after the watch's revision
    failed,       ///< see m_why
};

/// Result of a list (one page) or of a watch (changes).
struct store_answer {
    store_status m_status = store_status::failed;
    store_revision m_revision; ///< of the store, up to which the answer is complete
    std::vector<key_change> m_items;
    std::vector<key_revision> m_unchanged; ///< complete list only: keys named without a value
    bool m_has_more = false;               ///< list only: more pages follow
    bool m_is_complete_list = false;       ///< watch only: all present keys in place of the changes
    bool m_relayed = false;                ///< from another node, without a call to the store
    /// The time up to which the answer tells all changes; nullopt if it is not known.
    std::optional<time_point> m_as_of;
    reason m_why;

    bool operator==(const store_answer&) const = default;
};

/// A client of the store.
class key_value_store {
public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    virtual ~key_value_store() = default;

    /// Both suspend the calling fiber. They fail with timed_out, unreachable, interrupted,
    /// refused, rate_limited or malformed, and with cancelled after cancel().
    [[nodiscard]] virtual store_answer list(const list_request& request) = 0;
    [[nodiscard]] virtual store_answer watch(const watch_request& request) = 0;

    /// Makes calls in flight and all later ones fail.
    virtual void cancel() = 0;
};

} // namespace pomelohead::source
