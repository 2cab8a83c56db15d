// A follower that gets scripted answers: lists that name keys without their values, and answers
// without a revision.
#include "pomelohead/source/store_follower.h"

#include "testing/manual_timer_service.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::source {
namespace {

using namespace std::chrono_literals;
using key_values = std::map<std::string, std::string>;

} // namespace

// A list from another relay names unchanged keys without their values. What it does not name is
// gone, and a revision that differs from the known one shows that the values are needed after all.
BOOST_AUTO_TEST_CASE(a_list_without_known_values_is_checked_by_revision)
{
    std::vector<list_request> lists;
    std::vector<store_answer> list_answers;
    std::vector<store_answer> watch_answers;
    testing::manual_timer_service timers;
    key_values values;
    follower_hooks hooks;
    hooks.m_list = [&](const list_request& request, const auto& done) {
        lists.push_back(request);
        const store_answer answer = list_answers.at(0);
        list_answers.erase(list_answers.begin());
        done(answer);
    };
    hooks.m_watch = [&](const watch_request&, const auto& done) {
        if (!watch_answers.empty()) {
            const store_answer answer = watch_answers.at(0);
            watch_answers.erase(watch_answers.begin());
            done(answer);
        }
    };
    hooks.m_on_put = [&](const key_change& c) { values[c.m_key] = *c.m_value; };
    hooks.m_on_removed = [&](const std::string& key, const store_revision&) { values.erase(key); };
    hooks.m_on_answer_applied = [] {};
    hooks.m_on_contact_lost = [](const reason&) {};
    hooks.m_on_contact_regained = [] {};
    const auto list_of = [](std::uint64_t revision, std::vector<key_change> items,
                            std::vector<key_revision> unchanged) {
        store_answer answer;
        answer.m_status = store_status::ok;
        answer.m_revision = {1, revision};
        answer.m_items = std::move(items);
        answer.m_unchanged = std::move(unchanged);
        answer.m_relayed = true;
        return answer;
    };
    list_answers = {list_of(10, {{"a", {1, 5}, "1"}, {"b", {1, 6}, "1"}, {"c", {1, 7}, "1"}}, {})};
    store_answer switched =
        list_of(12, {{"d", {1, 11}, "1"}}, {{"a", {1, 5}, {}}, {"b", {1, 6}, {}}});
    switched.m_is_complete_list = true;
    watch_answers = {switched};
    store_follower follower({}, timers, hooks, 1);
    follower.start();
    timers.advance(1s);
    BOOST_TEST((values == key_values{{"a", "1"}, {"b", "1"}, {"d", "1"}}));
    BOOST_TEST((follower.complete_revision() == store_revision{1, 12}));
    BOOST_TEST(lists.size() == 1U);

    list_answers = {list_of(13, {}, {{"a", {1, 5}, {}}, {"b", {1, 9}, {}}}),
                    list_of(13, {{"a", {1, 5}, "1"}, {"b", {1, 9}, "2"}}, {})};
    follower.restart();
    timers.advance(1s);
    BOOST_TEST((values == key_values{{"a", "1"}, {"b", "2"}}));
    BOOST_REQUIRE(lists.size() == 3U);
    BOOST_TEST((lists.at(1).m_known_revision == store_revision{1, 12}));
    BOOST_TEST(lists.at(2).m_known_revision.is_none());
}

// A relay that has no change of the part to state a revision of must not hide a restore.
BOOST_AUTO_TEST_CASE(a_restore_is_seen_after_an_answer_without_a_revision)
{
    testing::manual_timer_service timers;
    key_values values;
    std::vector<store_answer> lists(2);
    for (store_answer& page : lists) {
        page.m_status = store_status::ok;
    }
    lists[0].m_revision = {1, 10};
    lists[0].m_items = {{"a", {1, 8}, "1"}, {"lost", {1, 9}, "1"}};
    lists[1].m_revision = {2, 9};
    lists[1].m_items = {{"a", {2, 8}, "1"}};
    std::size_t list_calls = 0;
    int watch_calls = 0;
    follower_hooks hooks;
    hooks.m_list = [&](const list_request&, const auto& done) { done(lists.at(list_calls++)); };
    hooks.m_watch = [&](const watch_request&, const auto& done) {
        if (++watch_calls == 1) {
            store_answer idle;
            idle.m_status = store_status::ok;
            idle.m_relayed = true;
            done(idle);
        }
    };
    hooks.m_on_put = [&](const key_change& c) { values[c.m_key] = *c.m_value; };
    hooks.m_on_removed = [&](const std::string& key, const store_revision&) { values.erase(key); };
    hooks.m_on_answer_applied = [] {};
    hooks.m_on_contact_lost = [](const reason&) {};
    hooks.m_on_contact_regained = [] {};
    store_follower follower({}, timers, hooks, 1);
    follower.start();
    timers.advance(1s);
    follower.restart();
    timers.advance(1s);
    BOOST_TEST((values == key_values{{"a", "1"}, {"lost", "1"}}));
    timers.advance(2s);
    BOOST_TEST((values == key_values{{"a", "1"}}));
}

} // namespace pomelohead::source
