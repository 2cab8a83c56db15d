// A store_follower of a fake_store on a manual clock, with what it has reported.
//
//     follower_fixture fixture;
//     fixture.m_store.put("a", "1");
//     fixture.m_follower->start();
//     fixture.m_values.at("a");   // "1"
#pragma once

#include "pomelohead/source/store_follower.h"
#include "testing/fake_store.h"
#include "testing/manual_timer_service.h"

#include <deque>

namespace pomelohead::testing {

using key_values = std::map<std::string, std::string>;

struct follower_fixture {
    explicit follower_fixture(std::size_t page = 100, const source::follower_options& options = {})
        : m_store(m_timers, page)
    {
        source::follower_hooks hooks;
        hooks.m_list = [this](const source::list_request& r,
                              const std::function<void(source::store_answer)>& done) {
            if (!m_relay_lists.empty()) {
                const source::store_answer answer = m_relay_lists.front();
                m_relay_lists.pop_front();
                done(answer);
                return;
            }
            m_store.list(r, counted(done));
        };
        hooks.m_watch = [this](const source::watch_request& r,
                               std::function<void(source::store_answer)> done) {
            m_store.watch(r, counted(std::move(done)));
        };
        hooks.m_on_put = [this](const source::key_change& c) {
            m_values[c.m_key] = *c.m_value;
            ++m_put_count;
        };
        hooks.m_on_removed = [this](const std::string& key, const source::store_revision&) {
            m_values.erase(key);
        };
        hooks.m_on_removed_value_ignored =
            [this](const std::string&, const source::store_revision&) { ++m_removed_value_count; };
        hooks.m_on_answer_applied = [this] { ++m_settled_count; };
        hooks.m_on_contact_lost = [this](const reason&) { ++m_lost_count; };
        hooks.m_on_contact_regained = [this] { ++m_regained_count; };
        hooks.m_on_watch_cut = [this](const reason&) { ++m_cut_count; };
        m_follower.emplace(options, m_timers, hooks, 1);
    }

    // Counts the items of each answer.
    std::function<void(source::store_answer)>
    counted(std::function<void(source::store_answer)> done)
    {
        return [this, done = std::move(done)](const source::store_answer& answer) {
            m_received_count += answer.m_items.size();
            done(answer);
        };
    }

    manual_timer_service m_timers;
    fake_store m_store;
    std::deque<source::store_answer> m_relay_lists; ///< answer the next lists in place of the store
    key_values m_values;
    int m_removed_value_count = 0;
    int m_settled_count = 0;
    int m_put_count = 0;
    std::size_t m_received_count = 0;
    int m_lost_count = 0;
    int m_regained_count = 0;
    int m_cut_count = 0;
    std::optional<source::store_follower> m_follower;
};

} // namespace pomelohead::testing
