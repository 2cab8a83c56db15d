// What a key-value store that can be listed and watched gives.
//
// Another shape of source than the one of source_client.h: the configuration is one
// value, and other values beside it change on their own. Keys have one revision
// counter in common, which grows with each change.
//
//     list_answer page = store.list({.m_after = last_key});   // in a fiber
//     watch_answer news = store.watch({.m_after = page.m_revision, .m_wait = 20s});
#pragma once

#include "pomelohead/runtime/reason.h"
#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelohead::source {

/// What a node follows in a store, each part by calls of its own: a configuration is one
/// large value that seldom changes, registrations are many small ones that often do.
enum class store_part { configuration, registrations };

/// A key's value as of one revision; no value: the key was removed.
struct key_change {
    std::string m_key;
    std::uint64_t m_revision = 0;
    std::optional<std::string> m_value;

    bool operator==(const key_change&) const = default;
};

/// A page of the keys in the store, in their order.
struct list_request {
    std::string m_after; ///< the page begins behind this key; empty: at the first one

    bool operator==(const list_request&) const = default;
};

/// A wait for changes.
struct watch_request {
    std::uint64_t m_after = 0; ///< changes above this revision are asked for
    milliseconds m_wait{0};    ///< the store answers after this time, changes or not

    bool operator==(const watch_request&) const = default;
};

enum class store_status {
    good,
    forgotten, ///< a watch's revision is older than the history that the store keeps
    failed,    ///< m_why
};

/// A list's page or a watch's changes.
struct store_answer {
    store_status m_status = store_status::failed;
    std::uint64_t m_revision = 0; ///< the store's revision that the answer reaches to
    std::vector<key_change> m_items;
    bool m_more = false;    ///< a page: others follow
    bool m_relayed = false; ///< another node's: it cost the store no call
    reason m_why;

    bool operator==(const store_answer&) const = default;
};

/// A client of such a store; its functions suspend the calling fiber.
class key_value_store {
public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    virtual ~key_value_store() = default;

    /// Fails with the reasons of an exchange: timed_out, unreachable, interrupted,
    /// refused, rate_limited, malformed.
    [[nodiscard]] virtual store_answer list(const list_request& request) = 0;
    [[nodiscard]] virtual store_answer watch(const watch_request& request) = 0;

    /// Ends all calls under way, and all later ones.
    virtual void cancel() = 0;
};

} // namespace pomelohead::source
