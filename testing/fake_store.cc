#include "testing/fake_store.h"

namespace pomelohead::testing {

using source::key_change;
using source::store_answer;
using source::store_status;

void fake_store::record(key_change change)
{
    m_history.push_back(std::move(change));
    std::list<waiting> woken = std::exchange(m_waiting, {});
    for (waiting& item : woken) {
        if (m_mode == store_mode::up) {
            item.m_done(changes_after(item.m_request.m_after.m_number));
        }
    }
}

void fake_store::put(const std::string& key, std::string value)
{
    ++m_revision.m_number;
    key_change change{key, m_revision, std::move(value)};
    m_items[key] = change;
    record(std::move(change));
}

void fake_store::erase(const std::string& key)
{
    m_items.erase(key);
    ++m_revision.m_number;
    record({key, m_revision, std::nullopt});
}

void fake_store::forget_history()
{
    m_history.clear();
    m_compacted_revision = m_revision.m_number;
    cut_watches();
}

void fake_store::restore(bool keeps_watches)
{
    m_revision = {m_revision.m_epoch + 1, m_copy.m_revision};
    m_compacted_revision = m_copy.m_compacted_revision;
    m_items = m_copy.m_items;
    m_history = m_copy.m_history;
    for (auto& [key, item] : m_items) {
        item.m_revision.m_epoch = m_revision.m_epoch;
    }
    for (key_change& change : m_history) {
        change.m_revision.m_epoch = m_revision.m_epoch;
    }
    if (!keeps_watches) {
        cut_watches();
    }
}

std::map<std::string, std::string> fake_store::values() const
{
    std::map<std::string, std::string> out;
    for (const auto& [key, item] : m_items) {
        out[key] = *item.m_value;
    }
    return out;
}

void fake_store::cut_watches()
{
    std::list<waiting> cut = std::exchange(m_waiting, {});
    for (waiting& item : cut) {
        store_answer lost;
        lost.m_why = {reason_code::interrupted, "the watch was cut"};
        item.m_done(lost);
    }
}

void fake_store::fail(const done_fn& done)
{
    if (m_mode == store_mode::down) {
        store_answer answer;
        answer.m_why = {reason_code::unreachable, "the store is down"};
        done(answer);
    }
}

void fake_store::list(const source::list_request& request, const done_fn& done)
{
    ++m_calls;
    if (m_mode != store_mode::up && m_mode != store_mode::without_history) {
        fail(done);
        return;
    }
    if (m_between_pages && !request.m_after.empty()) {
        m_between_pages(m_pages_returned);
    }
    store_answer page;
    page.m_status = store_status::ok;
    page.m_revision = m_revision;
    for (auto it = m_items.upper_bound(request.m_after); it != m_items.end(); ++it) {
        if (page.m_items.size() == m_page) {
            page.m_has_more = true;
            break;
        }
        page.m_items.push_back(it->second);
    }
    ++m_pages_returned;
    done(page);
}

store_answer fake_store::changes_after(std::uint64_t revision) const
{
    store_answer answer;
    if (revision < m_compacted_revision || revision > m_revision.m_number) {
        answer.m_status = store_status::history_lost;
        return answer;
    }
    answer.m_status = store_status::ok;
    answer.m_revision = m_revision;
    for (const key_change& change : m_history) {
        if (change.m_revision.m_number > revision) {
            answer.m_items.push_back(change);
        }
    }
    return answer;
}

void fake_store::watch(const source::watch_request& request, done_fn done)
{
    ++m_calls;
    if (m_mode == store_mode::without_history) {
        store_answer lost;
        lost.m_status = store_status::history_lost;
        done(lost);
        return;
    }
    if (m_mode != store_mode::up) {
        fail(done);
        return;
    }
    store_answer now = changes_after(request.m_after.m_number);
    const bool waits = request.m_wait > milliseconds::zero();
    if (!waits || now.m_status != store_status::ok || !now.m_items.empty()) {
        done(now);
        return;
    }
    m_waiting.push_back({request, std::move(done), {}});
    const auto at = std::prev(m_waiting.end());
    at->m_limit = m_timers.after(request.m_wait, [this, at] {
        const done_fn late = std::move(at->m_done);
        const std::uint64_t after = at->m_request.m_after.m_number;
        m_waiting.erase(at);
        late(changes_after(after));
    });
}

} // namespace pomelohead::testing
