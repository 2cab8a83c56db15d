// Keeps up with a key-value store: which keys it has, and their values.
//
// The follower lists the store once and then watches it. After a failed call, or
// when the store has forgotten the watch's revision, it lists again; what is missing
// then has been removed in between.
//
// A store that was away may have let the entries of live writers lapse; they write
// them again soon after its return. So a key that vanishes during an outage, or within
// the lapse grace after one, is reported as removed only when it is still missing at
// the end of the grace.
//
// The follower does no I/O: calls go out by hooks and their answers come back by the
// callback that is handed over. It reports no older revision of a key than before.
//
//     store_follower follower({}, timers, hooks, seed);
//     follower.start();
#pragma once

#include "pomelohead/source/backoff.h"
#include "pomelohead/source/key_value.h"

#include <functional>
#include <map>

namespace pomelohead::source {

struct follower_options {
    milliseconds m_watch_wait{20'000}; ///< below the 30 s that stores allow a watch to wait
    /// Between a watch's answer and the next watch, so that changes in quick succession
    /// share a call. To be less than half of the time within which a change is in force.
    milliseconds m_batch_delay{150};
    /// Whether changes in quick succession are followed by listing, not by watching: a watch
    /// tells each value that a key has had, a list only the newest. For large values.
    bool m_newest_only = false;
    /// In place of m_batch_delay after a relay's answer: relays pace themselves.
    milliseconds m_relayed_delay{20};
    /// Writers are back about two seconds after the store is.
    milliseconds m_lapse_grace{2'300};
    backoff_options m_retry{.m_base = milliseconds(200), .m_limit = milliseconds(1'000)};
};

struct follower_hooks {
    std::function<void(const list_request&, std::function<void(store_answer)>)> m_list;
    std::function<void(const watch_request&, std::function<void(store_answer)>)> m_watch;
    std::function<void(const key_change&)> m_put; ///< a new or changed value
    std::function<void(const std::string& key)> m_removed;
    std::function<void()> m_settled;           ///< after the puts and removals of one answer
    std::function<void(const reason&)> m_lost; ///< the first failed call after good ones
    std::function<void()> m_regained;          ///< the first good call after failed ones
};

/// What is known of the store.
struct follower_status {
    bool m_listed = false; ///< a whole list has been read since the start
    bool m_up = false;     ///< the latest call was answered
    std::uint64_t m_revision = 0;
    std::uint64_t m_calls = 0;
    std::optional<time_point> m_last_contact;
    reason m_last_failure;

    bool operator==(const follower_status&) const = default;
};

/// One node's view of the store.
class store_follower {
public:
    /// `timers` must outlive the object.
    store_follower(follower_options options, timer_service& timers, follower_hooks hooks,
                   std::uint64_t seed);

    /// Begins to follow the store.
    void start();

    /// Forgets the call under way and lists again, as after a freeze.
    void restart();

    /// Makes no more calls.
    void stop();

    [[nodiscard]] const follower_status& status() const { return m_status; }

private:
    void list_from(const std::string& after);
    void list_later(duration delay);
    void on_page(const std::string& after, const store_answer& page);
    void end_list();
    void watch();
    void on_changes(const store_answer& changes);
    void take(const key_change& change);
    void remove(const std::string& key, std::uint64_t revision);
    void remove_lapsed();
    void failed(const reason& why);
    void succeeded();
    [[nodiscard]] bool is_in_grace() const;

    struct known_key {
        std::uint64_t m_revision = 0;
        bool m_lapsed = false; ///< missing; removed at the end of the grace
        bool m_listed = false; ///< stands in the list under way
    };

    follower_options m_options;
    timer_service& m_timers;
    follower_hooks m_hooks;
    std::mt19937_64 m_random;
    backoff m_retry;
    follower_status m_status;
    std::uint64_t m_generation = 0;    // answers to calls of an earlier one are ignored
    std::uint64_t m_list_revision = 0; // of the first page of the list under way
    bool m_list_changed = false;       // the list under way has told something new
    bool m_list_relayed = false;
    bool m_reported = false; // a failure has been reported since the start
    bool m_was_up = false;   // the store has answered before
    std::optional<time_point> m_regained;
    std::map<std::string, known_key> m_keys;
    timer_subscription m_next;
    timer_subscription m_grace_end;
};

} // namespace pomelohead::source
