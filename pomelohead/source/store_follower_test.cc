// A follower of a store with paged lists, outages and truncated history: which keys and
// values it reports, and how many calls it makes.
#include "pomelohead/source/store_follower.h"

#include "testing/follower_fixture.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::source {
namespace {

using namespace std::chrono_literals;
using testing::follower_fixture;
using testing::key_values;
using testing::store_mode;

BOOST_AUTO_TEST_CASE(histories_compare_by_epoch)
{
    struct history_case {
        store_revision m_known;
        store_revision m_answered;
        history_relation m_relation = history_relation::same;
    };
    const history_case cases[] = {
        {{}, {3, 10}, history_relation::same},
        {{3, 10}, {}, history_relation::same},
        {{3, 10}, {3, 9}, history_relation::same},
        {{0, 10}, {0, 12}, history_relation::same}, // a store that states no epoch
        {{3, 10}, {4, 9}, history_relation::restored},
        {{3, 10}, {6, 100}, history_relation::restored},
        {{4, 9}, {3, 100}, history_relation::outdated},
    };
    for (const history_case& c : cases) {
        BOOST_TEST((compare_histories(c.m_known, c.m_answered) == c.m_relation));
    }
    BOOST_TEST((store_revision{4, 9} > store_revision{3, 100}));
    BOOST_TEST((store_revision{4, 9} < store_revision{4, 10}));
}

BOOST_AUTO_TEST_CASE(changes_between_pages_of_a_list_are_applied)
{
    follower_fixture fixture(2);
    for (const char* key : {"a", "b", "c", "d", "e"}) {
        fixture.m_store.put(key, "1");
    }
    fixture.m_store.m_between_pages = [&](std::size_t pages) {
        if (pages == 1) {
            fixture.m_store.erase("a"); // already listed
            fixture.m_store.put("b", "2");
            fixture.m_store.put("f", "1");
        }
    };
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    BOOST_TEST((fixture.m_values ==
                key_values{{"b", "2"}, {"c", "1"}, {"d", "1"}, {"e", "1"}, {"f", "1"}}));
    BOOST_TEST(fixture.m_follower->status().m_listed);
}

BOOST_AUTO_TEST_CASE(a_change_is_applied_at_once_and_later_ones_share_calls)
{
    follower_fixture fixture;
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    fixture.m_store.put("a", "1");
    BOOST_TEST(fixture.m_values.at("a") == "1");
    const std::size_t before = fixture.m_store.calls();
    for (int i = 0; i < 100; ++i) {
        fixture.m_store.put("a", std::to_string(i));
        fixture.m_timers.advance(10ms);
    }
    fixture.m_timers.advance(200ms);
    BOOST_TEST(fixture.m_values.at("a") == "99");
    // One second of changes, with one call per batch delay.
    BOOST_TEST(fixture.m_store.calls() - before <= 9U);
}

// A large value takes a few tenths of a second on a host's link. A watch during a burst of
// changes returns every superseded value, so the follower falls behind.
BOOST_AUTO_TEST_CASE(newest_only_skips_superseded_values_in_a_burst)
{
    for (const bool newest_only : {true, false}) {
        BOOST_TEST_CONTEXT("newest only: " << newest_only)
        {
            follower_fixture fixture(100,
                                     {.m_batch_delay = 500ms, .m_list_after_changes = newest_only});
            fixture.m_follower->start();
            fixture.m_timers.advance(1s);
            fixture.m_store.put("a", "first");
            BOOST_TEST(fixture.m_values.at("a") == "first");
            const std::size_t calls_before = fixture.m_store.calls();
            for (int i = 0; i < 50; ++i) {
                fixture.m_store.put("a", std::to_string(i));
                fixture.m_timers.advance(100ms);
            }
            fixture.m_timers.advance(500ms);
            BOOST_TEST(fixture.m_values.at("a") == "49");
            // Five seconds of changes and the list after the last one, each after a delay.
            BOOST_TEST(fixture.m_store.calls() - calls_before <= 12U);
            BOOST_TEST((fixture.m_received_count <= 13) == newest_only);
            BOOST_TEST(fixture.m_put_count <= 13);
            fixture.m_timers.advance(1s);
            // After the burst a watch is waiting, which returns the next change at once.
            fixture.m_store.put("a", "last");
            BOOST_TEST(fixture.m_values.at("a") == "last");
        }
    }
}

// A node that was without its relay in a storm of changes gets them all in one answer.
BOOST_AUTO_TEST_CASE(superseded_changes_of_an_answer_are_not_applied)
{
    follower_fixture fixture;
    fixture.m_store.put("a", "1");
    fixture.m_store.put("gone", "1");
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    fixture.m_store.put("b", "1"); // ends the watch; the next one starts after the batch delay
    fixture.m_put_count = 0;
    for (const char* value : {"2", "3", "4"}) {
        fixture.m_store.put("a", value);
    }
    fixture.m_store.put("gone", "2");
    fixture.m_store.erase("gone");
    fixture.m_timers.advance(1s);
    BOOST_TEST((fixture.m_values == key_values{{"a", "4"}, {"b", "1"}}));
    BOOST_TEST(fixture.m_put_count == 1);
}

BOOST_AUTO_TEST_CASE(an_idle_store_gets_at_most_three_calls_a_minute)
{
    follower_fixture fixture;
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    const std::size_t before = fixture.m_store.calls();
    fixture.m_timers.advance(60s);
    BOOST_TEST(fixture.m_store.calls() - before <= 3U);
}

BOOST_AUTO_TEST_CASE(a_removal_is_applied_at_once_without_an_outage)
{
    follower_fixture fixture;
    fixture.m_store.put("a", "1");
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    fixture.m_store.erase("a");
    BOOST_TEST(fixture.m_values.empty());
}

// Guards against a key that stays in use after its removal because the store has cut watches, which
// a follower took for outages, each with a grace of its own for missing keys.
BOOST_AUTO_TEST_CASE(cut_watches_defer_no_removal)
{
    struct cut_case {
        const char* m_name;
        std::vector<milliseconds> m_cuts; ///< times of the cuts, relative to the removal
    };
    const cut_case cases[] = {
        {"once, before the removal", {-300ms}},
        {"once, after the removal", {100ms}},
        {"before and after the removal", {-300ms, 700ms}},
        {"at the removal", {0ms}},
        {"again and again", {-900ms, -600ms, -300ms, -10ms, 10ms, 300ms, 600ms, 900ms}},
    };
    for (const cut_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            follower_fixture fixture;
            fixture.m_store.put("a", "1");
            fixture.m_store.put("b", "1");
            fixture.m_follower->start();
            fixture.m_timers.advance(2s);
            const std::size_t pages = fixture.m_store.pages_returned();
            constexpr milliseconds start{-1'000};
            for (milliseconds at = start; at < 1s; at += 10ms) {
                if (std::ranges::find(c.m_cuts, at) != c.m_cuts.end()) {
                    fixture.m_store.cut_watches();
                }
                if (at == 0ms) {
                    fixture.m_store.erase("a");
                }
                fixture.m_timers.advance(10ms);
                if (at >= 2 * follower_options{}.m_batch_delay) {
                    BOOST_TEST((fixture.m_values == key_values{{"b", "1"}}));
                }
            }
            BOOST_TEST(!fixture.m_follower->complete_revision().is_none());
            BOOST_TEST(fixture.m_store.pages_returned() == pages); // no list for a cut
        }
    }
}

// A watch also ends as the store goes down. What is missing when the store is back may be written
// again, as after any other outage.
BOOST_AUTO_TEST_CASE(cut_watch_that_begins_an_outage_is_followed_by_the_grace)
{
    follower_fixture fixture;
    fixture.m_store.put("a", "1");
    fixture.m_follower->start();
    fixture.m_timers.advance(2s);
    fixture.m_store.set_mode(store_mode::down);
    fixture.m_store.cut_watches();
    fixture.m_timers.advance(5s);
    fixture.m_store.erase("a");
    fixture.m_store.set_mode(store_mode::up);
    fixture.m_timers.advance(1200ms);
    BOOST_TEST(fixture.m_values.size() == 1U);
    fixture.m_store.cut_watches(); // does not extend the grace
    fixture.m_timers.advance(2400ms);
    BOOST_TEST(fixture.m_values.empty());
}

BOOST_AUTO_TEST_CASE(removals_lost_from_the_history_are_found_by_listing)
{
    follower_fixture fixture;
    fixture.m_store.put("a", "1");
    fixture.m_store.put("b", "1");
    fixture.m_follower->start();
    fixture.m_timers.advance(20s + 100ms); // between two watches
    fixture.m_store.erase("a");
    fixture.m_store.forget_history();
    fixture.m_timers.advance(5s);
    BOOST_TEST((fixture.m_values == key_values{{"b", "1"}}));
}

BOOST_AUTO_TEST_CASE(an_interrupted_watch_is_no_loss_of_contact_and_loses_no_change)
{
    follower_fixture fixture;
    fixture.m_store.put("a", "1");
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    fixture.m_store.forget_history();
    BOOST_TEST(fixture.m_cut_count == 1);
    fixture.m_store.put("a", "2");
    fixture.m_timers.advance(1s);
    BOOST_TEST(fixture.m_values.at("a") == "2");
    BOOST_TEST(fixture.m_lost_count == 0);
    BOOST_TEST(fixture.m_regained_count == 1); // the first contact
}

// A key whose lease expired during an outage and that is written again within the grace must
// not be reported as removed; a key that is not written again is removed after the grace.
BOOST_AUTO_TEST_CASE(keys_that_expire_during_an_outage_are_removed_after_the_grace)
{
    follower_fixture fixture;
    fixture.m_store.put("back", "1");
    fixture.m_store.put("gone", "1");
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    fixture.m_store.set_mode(store_mode::down);
    fixture.m_store.forget_history();
    fixture.m_timers.advance(5s);
    fixture.m_store.erase("back");
    fixture.m_store.erase("gone");
    fixture.m_store.set_mode(store_mode::up);
    fixture.m_timers.advance(1200ms); // the maximum delay between retries
    BOOST_TEST(fixture.m_values.size() == 2U);
    fixture.m_store.put("back", "2");
    fixture.m_timers.advance(3s);
    BOOST_TEST((fixture.m_values == key_values{{"back", "2"}}));
}

BOOST_AUTO_TEST_CASE(an_outage_causes_few_calls_and_one_report)
{
    follower_fixture fixture;
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    fixture.m_store.set_mode(store_mode::down);
    fixture.m_store.forget_history();
    const std::size_t before = fixture.m_store.calls();
    fixture.m_timers.advance(30s);
    BOOST_TEST(fixture.m_lost_count == 1);
    // The mean delay is half a second once the backoff has reached its maximum.
    BOOST_TEST(fixture.m_store.calls() - before <= 90U);
    fixture.m_store.set_mode(store_mode::up);
    fixture.m_timers.advance(1500ms);
    BOOST_TEST(fixture.m_follower->status().m_up);
}

BOOST_AUTO_TEST_CASE(calls_from_before_a_restart_are_ignored)
{
    follower_fixture fixture;
    fixture.m_store.put("a", "1");
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    fixture.m_store.set_mode(store_mode::hanging);
    fixture.m_follower->restart(); // never answered
    fixture.m_store.set_mode(store_mode::up);
    fixture.m_store.put("a", "2"); // answers the watch from before the restart
    BOOST_TEST(fixture.m_values.at("a") == "1");
    fixture.m_follower->restart();
    BOOST_TEST(fixture.m_values.at("a") == "2");
}

// A store that is restored from a copy gives revisions out again. Whether its new changes have
// lower, equal or higher revisions than the lost ones, and whether the watch is cut or goes on, all
// must be reported, and all keys that stay missing.
BOOST_AUTO_TEST_CASE(changes_of_a_restored_store_are_reported_whatever_their_revisions)
{
    for (const bool keeps_watches : {false, true}) {
        for (int lost = 1; lost <= 3; ++lost) {
            for (int written = 0; written <= 5; ++written) {
                BOOST_TEST_CONTEXT(lost << " changes lost, " << written << " written again, watch "
                                        << (keeps_watches ? "kept" : "cut"))
                {
                    follower_fixture fixture;
                    fixture.m_store.put("old", "1");
                    fixture.m_store.put("a", "1");
                    fixture.m_follower->start();
                    fixture.m_timers.advance(1s);
                    fixture.m_store.take_copy();
                    fixture.m_store.put("lost", "1");
                    for (int i = 1; i < lost; ++i) {
                        fixture.m_store.put("a", "lost " + std::to_string(i));
                    }
                    fixture.m_timers.advance(1s);
                    fixture.m_store.restore(keeps_watches);
                    for (int i = 0; i < written; ++i) {
                        fixture.m_store.put("a", "new " + std::to_string(i));
                    }
                    fixture.m_timers.advance(1s);
                    fixture.m_store.put("later", "1");
                    fixture.m_timers.advance(25s); // a watch and the grace
                    BOOST_TEST((fixture.m_values == fixture.m_store.values()));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_restored_store_gets_no_more_calls_than_another)
{
    follower_fixture fixture;
    fixture.m_store.put("a", "1");
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    fixture.m_store.take_copy();
    fixture.m_store.put("a", "2");
    fixture.m_timers.advance(1s);
    const std::size_t before = fixture.m_store.calls();
    fixture.m_store.restore();
    fixture.m_timers.advance(10s);
    BOOST_TEST(fixture.m_store.calls() - before <= 3U);
}

// Whatever makes a store refuse each watch, listing it again at once would load it without end.
BOOST_AUTO_TEST_CASE(a_store_that_loses_all_history_gets_calls_with_pauses)
{
    follower_fixture fixture;
    fixture.m_store.put("a", "1");
    fixture.m_store.set_mode(store_mode::without_history);
    fixture.m_follower->start();
    fixture.m_timers.advance(10s);
    // A list and a watch at the start, once more at once, and then for each batch delay.
    BOOST_TEST(fixture.m_store.calls() <= 4U + 2U * 10'000U / 150U);
    fixture.m_store.put("a", "2");
    fixture.m_timers.advance(1s);
    BOOST_TEST(fixture.m_values.at("a") == "2");
}

// A restore need not interrupt a call. The writers of the keys that it has lost write them again,
// as after an outage.
BOOST_AUTO_TEST_CASE(keys_lost_by_a_restore_are_removed_after_the_grace)
{
    for (const bool keeps_watches : {false, true}) {
        BOOST_TEST_CONTEXT("watch " << (keeps_watches ? "kept" : "cut"))
        {
            follower_fixture fixture;
            fixture.m_store.put("old", "1");
            fixture.m_follower->start();
            fixture.m_timers.advance(1s);
            fixture.m_store.take_copy();
            fixture.m_store.put("back", "1");
            fixture.m_store.put("gone", "1");
            fixture.m_timers.advance(1s);
            fixture.m_store.restore(keeps_watches);
            fixture.m_store.put("old", "2");
            fixture.m_store.put("old", "3");
            fixture.m_store.put("old", "4");
            fixture.m_timers.advance(2s);
            BOOST_TEST(
                (fixture.m_values == key_values{{"back", "1"}, {"gone", "1"}, {"old", "4"}}));
            BOOST_TEST(fixture.m_follower->complete_revision().is_none());
            fixture.m_store.put("back", "2");
            fixture.m_timers.advance(2s);
            BOOST_TEST((fixture.m_values == key_values{{"back", "2"}, {"old", "4"}}));
        }
    }
}

// What the first pages named may be missing in the copy, and what comes on later pages may be
// older than what the first page's revision promises.
BOOST_AUTO_TEST_CASE(pages_from_before_and_after_a_restore_make_no_list)
{
    follower_fixture fixture(2);
    for (const char* key : {"a", "b", "c"}) {
        fixture.m_store.put(key, "1");
    }
    fixture.m_store.take_copy();
    fixture.m_store.put("aa", "lost");
    fixture.m_store.put("c", "lost");
    bool is_restored = false;
    fixture.m_store.m_between_pages = [&](std::size_t) {
        if (!std::exchange(is_restored, true)) {
            fixture.m_store.restore();
        }
    };
    fixture.m_follower->start();
    fixture.m_timers.advance(5s);
    BOOST_TEST((fixture.m_values == key_values{{"a", "1"}, {"b", "1"}, {"c", "1"}}));
}

// Changes, outages, lost histories, cut watches, copies and restores in any order: in the end the
// follower has what the store has, and no more calls than the pauses between them allow.
BOOST_AUTO_TEST_CASE(after_any_series_of_faults_the_values_are_those_of_the_store)
{
    constexpr int series = 300;
    constexpr int steps = 40;
    for (std::uint64_t seed = 0; seed < series; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            follower_fixture fixture(1 + random() % 4, {.m_list_after_changes = seed % 2 == 0});
            fixture.m_store.put("a", "first");
            fixture.m_store.take_copy();
            fixture.m_follower->start();
            const auto key = [&random] {
                return std::string(1, static_cast<char>('a' + random() % 6));
            };
            for (int step = 0; step < steps; ++step) {
                switch (random() % 10) {
                case 0:
                    fixture.m_store.take_copy();
                    break;
                case 1:
                    fixture.m_store.restore(random() % 2 == 0);
                    break;
                case 2:
                    fixture.m_store.set_mode(random() % 2 == 0 ? store_mode::down : store_mode::up);
                    fixture.m_store.forget_history(); // an outage ends the watch
                    break;
                case 3:
                    fixture.m_store.forget_history();
                    break;
                case 4:
                case 5:
                    fixture.m_store.erase(key());
                    break;
                case 6:
                    fixture.m_store.cut_watches();
                    break;
                default:
                    fixture.m_store.put(key(), std::to_string(step));
                    break;
                }
                fixture.m_timers.advance(milliseconds(random() % 800));
            }
            fixture.m_store.set_mode(store_mode::up);
            const std::size_t before = fixture.m_store.calls();
            fixture.m_timers.advance(25s);
            BOOST_TEST((fixture.m_values == fixture.m_store.values()));
            BOOST_TEST(fixture.m_store.calls() - before <= 20U);
        }
    }
}

} // namespace
// While a removal waits for the end of its grace, nobody may take over from this node's revision:
// the removal would never be told again.
BOOST_AUTO_TEST_CASE(no_revision_is_complete_while_a_removal_is_pending)
{
    follower_fixture fixture;
    fixture.m_store.put("a", "1");
    BOOST_TEST(fixture.m_follower->complete_revision().is_none());
    fixture.m_follower->start();
    fixture.m_timers.advance(1s);
    BOOST_TEST(
        (fixture.m_follower->complete_revision() == fixture.m_follower->status().m_revision));
    fixture.m_store.set_mode(store_mode::down);
    fixture.m_store.forget_history();
    fixture.m_timers.advance(5s);
    fixture.m_store.set_mode(store_mode::up);
    fixture.m_store.erase("a");
    fixture.m_timers.advance(1s + 500ms);
    BOOST_TEST(fixture.m_values.contains("a"));
    BOOST_TEST(fixture.m_follower->complete_revision().is_none());
    fixture.m_timers.advance(5s);
    BOOST_TEST(!fixture.m_values.contains("a"));
    BOOST_TEST(!fixture.m_follower->complete_revision().is_none());
}

} // namespace pomelohead::source
