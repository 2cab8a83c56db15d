// Follows the keys and values of a key-value store.
//
// The follower lists the store once and then watches it. After a failed call, or when the
// watch's revision is older than the store's history, it lists again; keys that are then
// missing have been removed in the meantime.
//
// A store may end the connection of a watch that waits. This alone is no outage: the follower asks
// at once for the changes since its revision, and has lost contact only if that call fails too.
//
// During an outage of the store the leases of live writers may expire; they write their
// entries again soon after the store has recovered. They also write again what a restore has
// lost. Therefore a key that disappears during an outage or in a restore, or within the removal
// grace after it, is reported as removed only if it is still missing at the end of the grace. That
// it is missing is reported at once, for those who receive the changes from this node: whether a
// removal is to be deferred depends on what the receiver itself has missed.
//
// The follower does no I/O: it sends calls through hooks and passes a callback for the
// answer. It never reports an older revision of a key after a newer one, nor a value from before a
// removal that it has reported. A store that was
// restored from a copy is listed again: its values replace the known ones, as revisions of a
// later epoch are newer.
//
//     store_follower follower({}, timers, hooks, seed);
//     follower.start();
#pragma once

#include "pomelohead/source/backoff.h"
#include "pomelohead/source/key_value.h"
#include "pomelohead/source/removed_keys.h"

#include <functional>
#include <map>

namespace pomelohead::source {

struct follower_options {
    milliseconds m_watch_wait{20'000}; ///< below the 30 s that stores allow as the wait
    /// Delay between an answer with changes and the next call, so that changes in quick
    /// succession share a call, and the least time between two calls. Must be less than half of the
    /// time within which a change has to be in force.
    milliseconds m_batch_delay{150};
    /// Whether to list again after a change instead of watching on: a watch returns each
    /// value that a key has had, a list only the newest. For large values.
    bool m_list_after_changes = false;
    /// Replaces m_batch_delay after a relay's answer: relays batch changes themselves.
    milliseconds m_relay_watch_delay{20};
    /// How long after an outage or a restore a missing key is kept. Writers write their entries
    /// again about two seconds after the store has recovered.
    milliseconds m_removal_grace{2'300};
    backoff_options m_backoff{.m_initial_bound = milliseconds(200),
                              .m_max_bound = milliseconds(1'000)};
};

/// What a complete list has brought.
struct list_summary {
    store_revision m_revision;
    std::size_t m_ignored = 0; ///< items with an older revision than the known value's
    bool m_relayed = false;

    bool operator==(const list_summary&) const = default;
};

struct follower_hooks {
    std::function<void(const list_request&, std::function<void(store_answer)>)> m_list;
    std::function<void(const watch_request&, std::function<void(store_answer)>)> m_watch;
    std::function<void(const key_change&)> m_on_put; ///< a new or changed value
    /// `revision`: of the answer that lacks the key.
    std::function<void(const std::string& key, const store_revision& revision)> m_on_removed;
    std::function<void()> m_on_answer_applied; ///< after all puts and removals of one answer
    std::function<void(const reason&)>
        m_on_contact_lost;                       ///< the first failed call after successful ones
    std::function<void()> m_on_contact_regained; ///< the first successful call after failed ones
    /// Each failed call, with the time until the next one.
    std::function<void(const reason&, duration pause)> m_on_call_failed = [](const reason&,
                                                                             duration) {};
    /// The connection of a watch has ended while it waited; contact is not lost yet.
    std::function<void(const reason&)> m_on_watch_cut = [](const reason&) {};
    /// The store does not have the changes after the watched revision.
    std::function<void(const store_answer&)> m_on_history_lost = [](const store_answer&) {};
    /// The store has been restored from a copy since its latest answer.
    std::function<void(const store_revision& known, const store_revision& answered)> m_on_restored =
        [](const store_revision&, const store_revision&) {};
    std::function<void(const list_summary&)> m_on_listed = [](const list_summary&) {};
    /// An answer has a value of a key from before its removal, so that the value is ignored.
    std::function<void(const std::string& key, const store_revision& revision)>
        m_on_removed_value_ignored = [](const std::string&, const store_revision&) {};
    /// A key that is missing since `revision` at the latest is kept for `grace_left`, as its writer
    /// may write it again. m_on_put or m_on_removed follows.
    std::function<void(const std::string& key, const store_revision& revision, duration grace_left)>
        m_on_removal_deferred = [](const std::string&, const store_revision&, duration) {};
};

/// State of the contact with the store.
struct follower_status {
    bool m_listed = false; ///< a complete list has been read since the start
    bool m_up = false;     ///< the latest call succeeded
    store_revision m_revision;
    bool m_relayed = false; ///< the latest successful call was answered by a relay
    std::uint64_t m_calls = 0;
    std::optional<time_point> m_last_contact;
    std::optional<time_point> m_as_of; ///< the time up to which all changes have been reported
    reason m_last_failure;

    bool operator==(const follower_status&) const = default;
};

/// Follows one part of the store.
class store_follower {
public:
    /// `timers` must outlive the object.
    store_follower(follower_options options, timer_service& timers, follower_hooks hooks,
                   std::uint64_t seed);

    /// Starts with a list. Call once.
    void start();

    /// Discards the call in flight and lists again, for use after the process was frozen.
    void restart();

    /// Sends no more calls and ignores the answer to the one in flight.
    void stop();

    [[nodiscard]] const follower_status& status() const { return m_status; }

    /// The store's revision up to which all changes have been reported; none before the first list
    /// and while removals wait for the end of their grace.
    [[nodiscard]] store_revision complete_revision() const;

private:
    void list_from(const std::string& after, const store_revision& known_revision = {});
    void list_changed() { list_from({}, complete_revision()); }
    void schedule_list(duration delay);
    void detect_restore(const store_answer& answer);
    void start_removal_grace();
    [[nodiscard]] bool is_outdated(const store_answer& answer);
    void on_list_page(const std::string& after, const store_answer& page);
    void finish_list();
    void watch() { watch(m_options.m_watch_wait); }
    void watch(milliseconds wait);
    void on_changes(const store_answer& changes, milliseconds wait);
    void mark_all_unlisted();
    [[nodiscard]] bool mark_unchanged(const std::vector<key_revision>& keys);
    void apply_value(const key_change& change);
    [[nodiscard]] bool is_removed(const std::string& key, const store_revision& revision) const;
    void report_removal(const std::string& key, const store_revision& revision);
    void apply_removal(const std::string& key, const store_revision& revision);
    void apply_pending_removals();
    void on_watch_cut(const reason& why);
    void on_failure(const reason& why);
    void on_success(const store_answer& answer);
    [[nodiscard]] duration since_call() const { return m_timers.now() - m_called_at; }
    [[nodiscard]] duration delay_after(const store_answer& changes) const;
    void advance_as_of(const std::optional<time_point>& as_of);
    [[nodiscard]] bool is_in_removal_grace() const;

    struct known_key {
        store_revision m_revision;
        bool m_in_list = false; ///< seen in the current list
        /// Of the answer that lacks the key, which is to be removed at the end of the grace; none
        /// while the key is present.
        store_revision m_removed_at;

        [[nodiscard]] bool is_removal_pending() const { return !m_removed_at.is_none(); }
    };

    follower_options m_options;
    timer_service& m_timers;
    follower_hooks m_hooks;
    std::mt19937_64 m_random;
    backoff m_backoff;
    follower_status m_status;
    time_point m_called_at{};               // the latest call
    std::uint64_t m_generation = 0;         // answers to calls of an earlier generation are ignored
    store_revision m_list_revision;         // of the first page of the current list
    std::optional<time_point> m_list_as_of; // of the same page
    std::size_t m_list_ignored = 0;
    bool m_list_has_changes = false; // the current list had a new or changed value
    bool m_list_relayed = false;
    store_revision m_seen_revision;  // the newest of all answers; tells a restore
    bool m_history_lost = false;     // the latest watch was refused for its revision
    bool m_failure_reported = false; // m_on_contact_lost has been called since the start
    bool m_had_contact = false;      // a call has succeeded since the start
    std::optional<time_point> m_grace_started_at;
    std::map<std::string, known_key> m_keys;
    removed_keys m_removed_keys;
    timer_subscription m_next_call_timer;
    timer_subscription m_removal_grace_timer;
};

} // namespace pomelohead::source
