// A follower against a store that is paged, away, slow to tell or forgetful: what the
// node then believes, and how many calls it makes.
#include "pomelohead/source/store_follower.h"

#include "testing/fake_store.h"
#include "testing/manual_timer_service.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::source {
namespace {

using namespace std::chrono_literals;
using testing::store_mode;
using view = std::map<std::string, std::string>;

struct followed_store {
    explicit followed_store(std::size_t page = 100, const follower_options& options = {})
        : m_store(m_timers, page)
    {
        follower_hooks hooks;
        hooks.m_list = [this](const list_request& r,
                              const std::function<void(store_answer)>& done) {
            m_store.list(r, done);
        };
        hooks.m_watch = [this](const watch_request& r, std::function<void(store_answer)> done) {
            m_store.watch(r, std::move(done));
        };
        hooks.m_put = [this](const key_change& c) {
            m_view[c.m_key] = *c.m_value;
            ++m_values_told;
        };
        hooks.m_removed = [this](const std::string& key) { m_view.erase(key); };
        hooks.m_settled = [this] { ++m_settled; };
        hooks.m_lost = [this](const reason&) { ++m_lost; };
        hooks.m_regained = [this] { ++m_regained; };
        m_follower.emplace(options, m_timers, hooks, 1);
    }

    testing::manual_timer_service m_timers;
    testing::fake_store m_store;
    view m_view;
    int m_settled = 0;
    int m_values_told = 0;
    int m_lost = 0;
    int m_regained = 0;
    std::optional<store_follower> m_follower;
};

BOOST_AUTO_TEST_CASE(a_list_in_pages_and_what_changes_meanwhile_are_both_seen)
{
    followed_store f(2);
    for (const char* key : {"a", "b", "c", "d", "e"}) {
        f.m_store.put(key, "1");
    }
    f.m_store.m_between_pages = [&](std::size_t pages) {
        if (pages == 1) {
            f.m_store.erase("a"); // already given
            f.m_store.put("b", "2");
            f.m_store.put("f", "1");
        }
    };
    f.m_follower->start();
    f.m_timers.advance(1s);
    BOOST_TEST((f.m_view == view{{"b", "2"}, {"c", "1"}, {"d", "1"}, {"e", "1"}, {"f", "1"}}));
    BOOST_TEST(f.m_follower->status().m_listed);
}

BOOST_AUTO_TEST_CASE(a_change_is_seen_at_once_and_many_share_a_call)
{
    followed_store f;
    f.m_follower->start();
    f.m_timers.advance(1s);
    f.m_store.put("a", "1");
    BOOST_TEST(f.m_view.at("a") == "1");
    const std::size_t before = f.m_store.calls();
    for (int i = 0; i < 100; ++i) {
        f.m_store.put("a", std::to_string(i));
        f.m_timers.advance(10ms);
    }
    f.m_timers.advance(200ms);
    BOOST_TEST(f.m_view.at("a") == "99");
    // A second of changes, one call for each batch delay.
    BOOST_TEST(f.m_store.calls() - before <= 9U);
}

// A host's link carries a large value in a few tenths of a second; a watch through a storm
// brings each value of the storm, and falls behind.
BOOST_AUTO_TEST_CASE(in_a_storm_only_the_newest_values_are_told)
{
    for (const bool newest_only : {true, false}) {
        BOOST_TEST_CONTEXT("newest only: " << newest_only)
        {
            followed_store f(100, {.m_batch_delay = 500ms, .m_newest_only = newest_only});
            f.m_follower->start();
            f.m_timers.advance(1s);
            f.m_store.put("a", "first");
            BOOST_TEST(f.m_view.at("a") == "first");
            const std::size_t calls_before = f.m_store.calls();
            for (int i = 0; i < 50; ++i) {
                f.m_store.put("a", std::to_string(i));
                f.m_timers.advance(100ms);
            }
            f.m_timers.advance(500ms);
            BOOST_TEST(f.m_view.at("a") == "49");
            // Five seconds of changes and the last of them, each after a delay.
            BOOST_TEST(f.m_store.calls() - calls_before <= 12U);
            BOOST_TEST((f.m_values_told <= 13) == newest_only);
            f.m_timers.advance(1s);
            // The storm is over: a watch waits, and tells the next change at once.
            f.m_store.put("a", "last");
            BOOST_TEST(f.m_view.at("a") == "last");
        }
    }
}

BOOST_AUTO_TEST_CASE(a_quiet_store_costs_three_calls_a_minute)
{
    followed_store f;
    f.m_follower->start();
    f.m_timers.advance(1s);
    const std::size_t before = f.m_store.calls();
    f.m_timers.advance(60s);
    BOOST_TEST(f.m_store.calls() - before <= 3U);
}

BOOST_AUTO_TEST_CASE(a_removal_counts_at_once_while_the_store_was_there)
{
    followed_store f;
    f.m_store.put("a", "1");
    f.m_follower->start();
    f.m_timers.advance(1s);
    f.m_store.erase("a");
    BOOST_TEST(f.m_view.empty());
}

BOOST_AUTO_TEST_CASE(what_leaves_while_history_is_forgotten_is_found_missing)
{
    followed_store f;
    f.m_store.put("a", "1");
    f.m_store.put("b", "1");
    f.m_follower->start();
    f.m_timers.advance(20s + 100ms); // between two watches
    f.m_store.erase("a");
    f.m_store.forget_history();
    f.m_timers.advance(5s);
    BOOST_TEST((f.m_view == view{{"b", "1"}}));
}

BOOST_AUTO_TEST_CASE(a_cut_watch_is_followed_by_a_list)
{
    followed_store f;
    f.m_store.put("a", "1");
    f.m_follower->start();
    f.m_timers.advance(1s);
    f.m_store.forget_history();
    BOOST_TEST(f.m_lost == 1);
    f.m_store.put("a", "2");
    f.m_timers.advance(1s);
    BOOST_TEST(f.m_view.at("a") == "2");
    BOOST_TEST(f.m_regained == 2); // the first contact counts too
}

// What lapsed during an outage and comes back within the grace was never gone; what does
// not come back is gone after it.
BOOST_AUTO_TEST_CASE(entries_that_lapse_during_an_outage_have_time_to_come_back)
{
    followed_store f;
    f.m_store.put("back", "1");
    f.m_store.put("gone", "1");
    f.m_follower->start();
    f.m_timers.advance(1s);
    f.m_store.set_mode(store_mode::down);
    f.m_store.forget_history();
    f.m_timers.advance(5s);
    f.m_store.erase("back");
    f.m_store.erase("gone");
    f.m_store.set_mode(store_mode::up);
    f.m_timers.advance(1200ms); // the longest wait between tries
    BOOST_TEST(f.m_view.size() == 2U);
    f.m_store.put("back", "2");
    f.m_timers.advance(3s);
    BOOST_TEST((f.m_view == view{{"back", "2"}}));
}

BOOST_AUTO_TEST_CASE(an_outage_costs_few_calls_and_one_report)
{
    followed_store f;
    f.m_follower->start();
    f.m_timers.advance(1s);
    f.m_store.set_mode(store_mode::down);
    f.m_store.forget_history();
    const std::size_t before = f.m_store.calls();
    f.m_timers.advance(30s);
    BOOST_TEST(f.m_lost == 1);
    // The mean wait is half a second once the backoff has reached its limit.
    BOOST_TEST(f.m_store.calls() - before <= 90U);
    f.m_store.set_mode(store_mode::up);
    f.m_timers.advance(1500ms);
    BOOST_TEST(f.m_follower->status().m_up);
}

BOOST_AUTO_TEST_CASE(after_a_restart_answers_to_older_calls_count_for_nothing)
{
    followed_store f;
    f.m_store.put("a", "1");
    f.m_follower->start();
    f.m_timers.advance(1s);
    f.m_store.set_mode(store_mode::hanging);
    f.m_follower->restart(); // never answered
    f.m_store.set_mode(store_mode::up);
    f.m_store.put("a", "2"); // wakes the watch of before
    BOOST_TEST(f.m_view.at("a") == "1");
    f.m_follower->restart();
    BOOST_TEST(f.m_view.at("a") == "2");
}

} // namespace
} // namespace pomelohead::source
