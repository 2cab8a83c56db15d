// A key-value store without sockets, for tests on a manual clock.
//
//     fake_store store(timers);
//     store.put("a", "1");
//     follower_hooks hooks{.m_list = store.list_hook(), .m_watch = store.watch_hook()};
#pragma once

#include "pomelohead/source/key_value.h"

#include <functional>
#include <list>
#include <map>

namespace pomelohead::testing {

/// What the store does with calls.
enum class store_mode {
    up,
    down,
    hanging,
    without_history, ///< answers each watch that its changes are not known any more
};

/// Holds keys and answers lists and watches as a published store does: pages are not a
/// snapshot, a watch answers with the first change, and history may be forgotten.
class fake_store {
public:
    using done_fn = std::function<void(source::store_answer)>;

    explicit fake_store(timer_service& timers, std::size_t page = 100)
        : m_timers(timers), m_page(page)
    {
    }

    void put(const std::string& key, std::string value);
    void erase(const std::string& key);

    void set_mode(store_mode mode) { m_mode = mode; }

    /// Ends the watches that wait; the store stays up.
    void cut_watches();

    /// Forgets all history, and cuts the watches that wait.
    void forget_history();

    /// Takes the copy that restore() goes back to.
    void take_copy() { m_copy = {m_revision.m_number, m_compacted_revision, m_items, m_history}; }

    /// Goes back to the copy. What has changed since is lost, its revisions are given out again,
    /// and a new epoch starts. Cuts the watches that wait unless `keeps_watches`.
    void restore(bool keeps_watches = false);

    /// Called between a page and the next, with the number of pages given so far.
    std::function<void(std::size_t)> m_between_pages;

    void list(const source::list_request& request, const done_fn& done);
    void watch(const source::watch_request& request, done_fn done);

    [[nodiscard]] std::size_t calls() const { return m_calls; }
    [[nodiscard]] std::size_t pages_returned() const { return m_pages_returned; }

    /// The present values, by key.
    [[nodiscard]] std::map<std::string, std::string> values() const;

private:
    struct waiting {
        source::watch_request m_request;
        done_fn m_done;
        timer_subscription m_limit;
    };

    // What restore() goes back to.
    struct copy {
        std::uint64_t m_revision = 0;
        std::uint64_t m_compacted_revision = 0;
        std::map<std::string, source::key_change> m_items;
        std::list<source::key_change> m_history;
    };

    [[nodiscard]] source::store_answer changes_after(std::uint64_t revision) const;
    void record(source::key_change change);
    void fail(const done_fn& done);

    timer_service& m_timers;
    std::size_t m_page;
    std::size_t m_pages_returned = 0;
    store_mode m_mode = store_mode::up;
    source::store_revision m_revision{.m_epoch = 1, .m_number = 10};
    std::uint64_t m_compacted_revision = 0; ///< changes up to this revision are not known any more
    std::map<std::string, source::key_change> m_items;
    std::list<source::key_change> m_history;
    copy m_copy;
    std::list<waiting> m_waiting;
    std::size_t m_calls = 0;
};

} // namespace pomelohead::testing
