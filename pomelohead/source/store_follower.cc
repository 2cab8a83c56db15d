// The pages of a list are not a snapshot. The watch therefore starts at the revision of the
// first page, and returns again what changed while later pages were read; the revision of
// each key decides which of two values is newer.
#include "pomelohead/source/store_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pomelohead::source {
namespace {

bool is_connection_end(reason_code code)
{
    return code == reason_code::interrupted || code == reason_code::unresponsive ||
           code == reason_code::cancelled;
}

} // namespace

store_follower::store_follower(follower_options options, timer_service& timers,
                               follower_hooks hooks, std::uint64_t seed)
    : m_options(options), m_timers(timers), m_hooks(std::move(hooks)), m_random(seed),
      m_backoff(options.m_backoff)
{
}

void store_follower::start()
{
    list_from({});
}

void store_follower::restart()
{
    m_next_call_timer.cancel();
    list_changed();
}

void store_follower::stop()
{
    ++m_generation;
    m_next_call_timer.cancel();
    m_removal_grace_timer.cancel();
}

store_revision store_follower::complete_revision() const
{
    const bool is_certain = m_status.m_listed && std::ranges::none_of(m_keys, [](const auto& item) {
                                return item.second.is_removal_pending();
                            });
    return is_certain ? m_status.m_revision : store_revision{};
}

void store_follower::mark_all_unlisted()
{
    m_list_revision = {};
    m_list_ignored = 0;
    m_list_has_changes = false;
    for (auto& [key, known] : m_keys) {
        known.m_in_list = false;
    }
}

void store_follower::list_from(const std::string& after, const store_revision& known_revision)
{
    ++m_status.m_calls;
    m_called_at = m_timers.now();
    const std::uint64_t generation = ++m_generation;
    m_hooks.m_list({.m_after = after, .m_known_revision = known_revision},
                   [this, generation, after](const store_answer& page) {
                       if (generation == m_generation) {
                           on_list_page(after, page);
                       }
                   });
}

// Returns whether all keys are known with the stated revisions, or known to be removed since.
bool store_follower::mark_unchanged(const std::vector<key_revision>& keys)
{
    for (const key_revision& present : keys) {
        const auto it = m_keys.find(present.m_key);
        if (is_removed(present.m_key, present.m_revision)) {
            m_hooks.m_on_removed_value_ignored(present.m_key, present.m_revision);
            continue;
        }
        if (it == m_keys.end() || (it->second.m_revision != present.m_revision &&
                                   it->second.m_revision != present.m_earlier_revision)) {
            return false;
        }
        if (it->second.is_removal_pending()) {
            return false; // its value has to be reported again
        }
        it->second.m_revision = present.m_revision;
        it->second.m_in_list = true;
    }
    return true;
}

// Fails the call if its answer is from before a restore that this follower has seen.
bool store_follower::is_outdated(const store_answer& answer)
{
    if (compare_histories(m_seen_revision, answer.m_revision) != history_relation::outdated) {
        return false;
    }
    on_failure({reason_code::stale, "the answer is from before the latest restore of the store"});
    return true;
}

void store_follower::on_list_page(const std::string& after, const store_answer& page)
{
    if (page.m_status != store_status::ok) {
        on_failure(page.m_why);
        return;
    }
    if (is_outdated(page)) {
        return;
    }
    on_success(page);
    detect_restore(page);
    if (after.empty()) {
        mark_all_unlisted();
        m_list_revision = page.m_revision;
        m_list_as_of = page.m_as_of;
        m_list_relayed = page.m_relayed;
    }
    if (!mark_unchanged(page.m_unchanged)) {
        list_from({}); // the node that omitted the values has others
        return;
    }
    for (const key_change& item : page.m_items) {
        apply_value(item);
        if (const auto it = m_keys.find(item.m_key); it != m_keys.end()) {
            it->second.m_in_list = !it->second.is_removal_pending();
        }
    }
    if (page.m_has_more && !page.m_items.empty()) {
        list_from(page.m_items.back().m_key);
        return;
    }
    finish_list();
}

void store_follower::finish_list()
{
    std::vector<std::string> missing;
    for (const auto& [key, known] : m_keys) {
        if (!known.m_in_list && known.m_revision <= m_list_revision) {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing) {
        apply_removal(key, m_list_revision);
    }
    const bool is_first = !std::exchange(m_status.m_listed, true);
    m_status.m_revision = std::max(m_status.m_revision, m_list_revision);
    advance_as_of(m_list_as_of);
    m_hooks.m_on_listed({m_list_revision, m_list_ignored, m_list_relayed});
    m_hooks.m_on_answer_applied();
    if (m_options.m_list_after_changes && m_list_has_changes && !is_first && !m_list_relayed) {
        schedule_list(m_options.m_batch_delay);
        return;
    }
    watch();
}

void store_follower::schedule_list(duration delay)
{
    m_next_call_timer = m_timers.after(delay, [this] { list_changed(); });
}

void store_follower::watch(milliseconds wait)
{
    ++m_status.m_calls;
    m_called_at = m_timers.now();
    const std::uint64_t generation = ++m_generation;
    m_hooks.m_watch({.m_after = m_status.m_revision, .m_wait = wait},
                    [this, generation, wait](const store_answer& changes) {
                        if (generation == m_generation) {
                            on_changes(changes, wait);
                        }
                    });
}

// `wait`: for which the watch asked.
void store_follower::on_changes(const store_answer& changes, milliseconds wait)
{
    if (changes.m_status == store_status::history_lost) {
        on_success(changes);
        m_hooks.m_on_history_lost(changes);
        schedule_list(std::exchange(m_history_lost, true) ? m_options.m_batch_delay : duration{});
        return;
    }
    if (changes.m_status != store_status::ok) {
        if (wait > milliseconds::zero() && is_connection_end(changes.m_why.m_code)) {
            on_watch_cut(changes.m_why);
        }
        else {
            on_failure(changes.m_why);
        }
        return;
    }
    if (changes.m_is_complete_list) {
        on_list_page({}, changes);
        return;
    }
    if (is_outdated(changes)) {
        return;
    }
    on_success(changes);
    detect_restore(changes);
    m_history_lost = false;
    // A relay has listed the restored store itself, so its changes say what is different now.
    if (!changes.m_relayed &&
        compare_histories(m_status.m_revision, changes.m_revision) == history_relation::restored) {
        list_changed();
        return;
    }
    std::map<std::string_view, store_revision> newest;
    for (const key_change& change : changes.m_items) {
        newest[change.m_key] = std::max(newest[change.m_key], change.m_revision);
    }
    for (const key_change& change : changes.m_items) {
        if (change.m_revision < newest[change.m_key]) {
            continue; // reading a superseded configuration would delay the one in force
        }
        if (change.m_value) {
            apply_value(change);
        }
        else {
            apply_removal(change.m_key, change.m_revision);
        }
    }
    m_status.m_revision = std::max(m_status.m_revision, changes.m_revision);
    advance_as_of(changes.m_as_of);
    if (!changes.m_items.empty()) {
        m_hooks.m_on_answer_applied();
        // A relay returns only the newest values, so watching it is enough.
        if (m_options.m_list_after_changes && !changes.m_relayed) {
            schedule_list(m_options.m_batch_delay);
            return;
        }
    }
    m_next_call_timer = m_timers.after(delay_after(changes), [this] { watch(); });
}

// After an answer without changes there is nothing to share a call with the next change.
duration store_follower::delay_after(const store_answer& changes) const
{
    if (changes.m_relayed) {
        return m_options.m_relay_watch_delay;
    }
    return changes.m_items.empty() ? std::max<duration>(m_options.m_batch_delay - since_call(), {})
                                   : m_options.m_batch_delay;
}

void store_follower::apply_value(const key_change& change)
{
    if (is_removed(change.m_key, change.m_revision)) {
        ++m_list_ignored;
        m_hooks.m_on_removed_value_ignored(change.m_key, change.m_revision);
        return;
    }
    m_removed_keys.erase(change.m_key);
    known_key& known = m_keys[change.m_key];
    if (change.m_revision < known.m_revision) {
        ++m_list_ignored;
        return;
    }
    known.m_removed_at = {};
    if (change.m_revision > known.m_revision) {
        known.m_revision = change.m_revision;
        m_list_has_changes = true;
        m_hooks.m_on_put(change);
    }
}

// Whether a value of this revision is from before a removal of its key, reported or pending.
bool store_follower::is_removed(const std::string& key, const store_revision& revision) const
{
    const auto it = m_keys.find(key);
    return it != m_keys.end() ? revision <= it->second.m_removed_at
                              : m_removed_keys.covers(key, revision);
}

// `revision`: since which the key is missing at the latest.
void store_follower::report_removal(const std::string& key, const store_revision& revision)
{
    m_keys.erase(key);
    m_removed_keys.add(key, revision);
    m_hooks.m_on_removed(key, revision);
}

void store_follower::apply_removal(const std::string& key, const store_revision& revision)
{
    const auto it = m_keys.find(key);
    if (it == m_keys.end() || it->second.m_revision > revision) {
        return;
    }
    if (is_in_removal_grace()) {
        const bool was_pending = it->second.is_removal_pending();
        it->second.m_removed_at = std::max(it->second.m_removed_at, revision);
        if (!was_pending) {
            m_hooks.m_on_removal_deferred(
                key, revision, m_options.m_removal_grace - (m_timers.now() - *m_grace_started_at));
        }
        return;
    }
    report_removal(key, revision);
}

void store_follower::apply_pending_removals()
{
    std::vector<std::pair<std::string, store_revision>> expired;
    for (const auto& [key, known] : m_keys) {
        if (known.is_removal_pending()) {
            expired.emplace_back(key, known.m_removed_at);
        }
    }
    for (const auto& [key, removed_at] : expired) {
        report_removal(key, removed_at);
    }
    if (!expired.empty()) {
        m_hooks.m_on_answer_applied();
    }
}

bool store_follower::is_in_removal_grace() const
{
    return m_grace_started_at && m_timers.now() - *m_grace_started_at < m_options.m_removal_grace;
}

void store_follower::start_removal_grace()
{
    m_grace_started_at = m_timers.now();
    m_removal_grace_timer =
        m_timers.after(m_options.m_removal_grace, [this] { apply_pending_removals(); });
}

// Restores need not interrupt a call, so that contact with the store may not have been lost.
void store_follower::detect_restore(const store_answer& answer)
{
    const store_revision known = m_seen_revision;
    m_seen_revision = std::max(known, answer.m_revision);
    if (compare_histories(known, answer.m_revision) == history_relation::restored) {
        start_removal_grace();
        m_hooks.m_on_restored(known, answer.m_revision);
    }
}

// The store may have ended the watch as it may end any, or because it goes down: a call that does
// not wait tells.
void store_follower::on_watch_cut(const reason& why)
{
    m_hooks.m_on_watch_cut(why);
    ++m_generation;
    m_next_call_timer = m_timers.after(duration{}, [this] { watch(milliseconds::zero()); });
}

void store_follower::on_failure(const reason& why)
{
    const bool was_up = std::exchange(m_status.m_up, false);
    m_status.m_last_failure = why;
    if (was_up || !m_failure_reported) {
        m_failure_reported = true;
        m_hooks.m_on_contact_lost(why);
    }
    ++m_generation;
    // A call that waited for its answer has kept the distance between calls already.
    const duration pause = std::max<duration>(m_backoff.next(m_random) - since_call(), {});
    m_hooks.m_on_call_failed(why, pause);
    schedule_list(pause);
}

void store_follower::advance_as_of(const std::optional<time_point>& as_of)
{
    m_status.m_as_of = std::max(m_status.m_as_of, as_of);
}

void store_follower::on_success(const store_answer& answer)
{
    m_backoff.reset();
    const time_point now = m_timers.now();
    m_status.m_last_contact = now;
    m_status.m_relayed = answer.m_relayed;
    if (m_status.m_up) {
        return;
    }
    m_status.m_up = true;
    if (m_had_contact) {
        start_removal_grace();
    }
    m_had_contact = true;
    m_hooks.m_on_contact_regained();
}

} // namespace pomelohead::source
