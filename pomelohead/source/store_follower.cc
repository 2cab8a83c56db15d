// The pages of a list are not a snapshot, so the watch begins at the revision of the
// first page: what changed while later pages were read comes again as an event, and
// the revision of each key tells which of two values is newer.
#include "pomelohead/source/store_follower.h"

#include <utility>
#include <vector>

namespace pomelohead::source {

store_follower::store_follower(follower_options options, timer_service& timers,
                               follower_hooks hooks, std::uint64_t seed)
    : m_options(options), m_timers(timers), m_hooks(std::move(hooks)), m_random(seed),
      m_retry(options.m_retry)
{
}

void store_follower::start()
{
    list_from({});
}

void store_follower::restart()
{
    m_next.cancel();
    list_from({});
}

void store_follower::stop()
{
    ++m_generation;
    m_next.cancel();
    m_grace_end.cancel();
}

void store_follower::list_from(const std::string& after)
{
    if (after.empty()) {
        m_list_revision = 0;
        m_list_changed = false;
        for (auto& [key, known] : m_keys) {
            known.m_listed = false;
        }
    }
    ++m_status.m_calls;
    const std::uint64_t generation = ++m_generation;
    m_hooks.m_list({.m_after = after}, [this, generation, after](const store_answer& page) {
        if (generation == m_generation) {
            on_page(after, page);
        }
    });
}

void store_follower::on_page(const std::string& after, const store_answer& page)
{
    if (page.m_status != store_status::good) {
        failed(page.m_why);
        return;
    }
    succeeded();
    if (after.empty()) {
        m_list_revision = page.m_revision;
        m_list_relayed = page.m_relayed;
    }
    for (const key_change& item : page.m_items) {
        take(item);
        m_keys[item.m_key].m_listed = true;
    }
    if (page.m_more && !page.m_items.empty()) {
        list_from(page.m_items.back().m_key);
        return;
    }
    end_list();
}

void store_follower::end_list()
{
    std::vector<std::string> missing;
    for (const auto& [key, known] : m_keys) {
        if (!known.m_listed && known.m_revision <= m_list_revision) {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing) {
        remove(key, m_list_revision);
    }
    const bool is_first = !std::exchange(m_status.m_listed, true);
    m_status.m_revision = m_list_revision;
    m_hooks.m_settled();
    if (m_options.m_newest_only && m_list_changed && !is_first && !m_list_relayed) {
        list_later(m_options.m_batch_delay);
        return;
    }
    watch();
}

void store_follower::list_later(duration delay)
{
    m_next = m_timers.after(delay, [this] { list_from({}); });
}

void store_follower::watch()
{
    ++m_status.m_calls;
    const std::uint64_t generation = ++m_generation;
    m_hooks.m_watch({.m_after = m_status.m_revision, .m_wait = m_options.m_watch_wait},
                    [this, generation](const store_answer& changes) {
                        if (generation == m_generation) {
                            on_changes(changes);
                        }
                    });
}

void store_follower::on_changes(const store_answer& changes)
{
    if (changes.m_status == store_status::forgotten) {
        succeeded();
        list_from({});
        return;
    }
    if (changes.m_status != store_status::good) {
        failed(changes.m_why);
        return;
    }
    succeeded();
    for (const key_change& change : changes.m_items) {
        if (change.m_value) {
            take(change);
        }
        else {
            remove(change.m_key, change.m_revision);
        }
    }
    m_status.m_revision = std::max(m_status.m_revision, changes.m_revision);
    if (!changes.m_items.empty()) {
        m_hooks.m_settled();
        // A relay tells the newest values only.
        if (m_options.m_newest_only && !changes.m_relayed) {
            list_later(m_options.m_batch_delay);
            return;
        }
    }
    const duration delay = changes.m_relayed ? m_options.m_relayed_delay : m_options.m_batch_delay;
    m_next = m_timers.after(delay, [this] { watch(); });
}

void store_follower::take(const key_change& change)
{
    known_key& known = m_keys[change.m_key];
    if (change.m_revision < known.m_revision) {
        return;
    }
    known.m_lapsed = false;
    if (change.m_revision > known.m_revision) {
        known.m_revision = change.m_revision;
        m_list_changed = true;
        m_hooks.m_put(change);
    }
}

void store_follower::remove(const std::string& key, std::uint64_t revision)
{
    const auto it = m_keys.find(key);
    if (it == m_keys.end() || it->second.m_revision > revision) {
        return;
    }
    if (is_in_grace()) {
        it->second.m_lapsed = true;
        return;
    }
    m_keys.erase(it);
    m_hooks.m_removed(key);
}

void store_follower::remove_lapsed()
{
    std::vector<std::string> lapsed;
    for (const auto& [key, known] : m_keys) {
        if (known.m_lapsed) {
            lapsed.push_back(key);
        }
    }
    for (const std::string& key : lapsed) {
        m_keys.erase(key);
        m_hooks.m_removed(key);
    }
    if (!lapsed.empty()) {
        m_hooks.m_settled();
    }
}

bool store_follower::is_in_grace() const
{
    return m_regained && m_timers.now() - *m_regained < m_options.m_lapse_grace;
}

void store_follower::failed(const reason& why)
{
    const bool was_up = std::exchange(m_status.m_up, false);
    m_status.m_last_failure = why;
    if (was_up || !m_reported) {
        m_reported = true;
        m_hooks.m_lost(why);
    }
    ++m_generation;
    list_later(m_retry.next(m_random));
}

void store_follower::succeeded()
{
    m_retry.reset();
    const time_point now = m_timers.now();
    m_status.m_last_contact = now;
    if (m_status.m_up) {
        return;
    }
    m_status.m_up = true;
    if (m_was_up) {
        m_regained = now;
        m_grace_end = m_timers.after(m_options.m_lapse_grace, [this] { remove_lapsed(); });
    }
    m_was_up = true;
    m_hooks.m_regained();
}

} // namespace pomelohead::source
