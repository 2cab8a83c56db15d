// Which values count as removed, and that a follower takes none of them from another node.
#include "pomelohead/source/removed_keys.h"

#include "testing/follower_fixture.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::source {

using namespace std::chrono_literals;
using testing::follower_fixture;
using testing::key_values;
using testing::store_mode;

// Guards against a removed key that comes back because a follower, which has forgotten it, takes an
// earlier value for a new one. However it learned of the removal, and however the earlier value is
// offered, only a later one counts.
BOOST_AUTO_TEST_CASE(value_from_before_a_removal_is_ignored_whoever_offers_it)
{
    struct removal_case {
        const char* m_name;
        std::function<void(follower_fixture&)> m_remove;
        bool m_is_deferred = false;
    };
    const auto remove_in_outage = [](follower_fixture& fixture) {
        fixture.m_store.set_mode(store_mode::down);
        fixture.m_store.forget_history();
        fixture.m_timers.advance(3s);
        fixture.m_store.erase("a");
        fixture.m_store.set_mode(store_mode::up);
        fixture.m_timers.advance(1200ms);
    };
    const removal_case removals[] = {
        {"told by a watch", [](follower_fixture& fixture) { fixture.m_store.erase("a"); }},
        {"missing in a list",
         [](follower_fixture& fixture) {
             fixture.m_store.forget_history();
             fixture.m_store.erase("a");
             fixture.m_timers.advance(1s);
         }},
        {"at the end of the grace",
         [&](follower_fixture& fixture) {
             remove_in_outage(fixture);
             fixture.m_timers.advance(3s);
         }},
        {"deferred", remove_in_outage, true},
    };
    const store_revision earlier{1, 11}; // of the only value of "a"
    const auto relay_answer = [](std::vector<key_change> items, std::vector<key_revision> same) {
        store_answer answer;
        answer.m_status = store_status::ok;
        answer.m_revision = {1, 12};
        answer.m_items = std::move(items);
        answer.m_unchanged = std::move(same);
        answer.m_relayed = true;
        return answer;
    };
    struct offer_case {
        const char* m_name;
        std::deque<store_answer> m_lists;
    };
    const offer_case offers[] = {
        {"a list with its value", {relay_answer({{"a", earlier, "1"}, {"b", {1, 12}, "1"}}, {})}},
        {"a list that names it", {relay_answer({}, {{"a", earlier, {}}, {"b", {1, 12}, {}}})}},
    };
    for (const removal_case& removal : removals) {
        for (const offer_case& offer : offers) {
            BOOST_TEST_CONTEXT(removal.m_name << ", " << offer.m_name)
            {
                follower_fixture fixture;
                fixture.m_store.put("a", "1");
                fixture.m_store.put("b", "1");
                fixture.m_follower->start();
                fixture.m_timers.advance(1s);
                removal.m_remove(fixture);
                BOOST_TEST(fixture.m_values.contains("a") == removal.m_is_deferred);
                const std::size_t calls = fixture.m_store.calls();
                fixture.m_relay_lists = offer.m_lists;
                fixture.m_follower->restart(); // lists, as if from another relay
                BOOST_TEST(fixture.m_values.contains("a") == removal.m_is_deferred);
                BOOST_TEST(fixture.m_removed_value_count == 1);
                BOOST_TEST(fixture.m_store.calls() - calls <= 1U); // the watch, no list besides
                fixture.m_timers.advance(3s);
                BOOST_TEST((fixture.m_values == key_values{{"b", "1"}}));
                fixture.m_store.put("a", "back");
                fixture.m_timers.advance(1s);
                BOOST_TEST((fixture.m_values == key_values{{"a", "back"}, {"b", "1"}}));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(removals_are_remembered_up_to_a_maximum)
{
    removed_keys removed;
    removed.add("a", {1, 5});
    BOOST_TEST(removed.covers("a", {1, 5}));
    BOOST_TEST(!removed.covers("a", {1, 6}));
    BOOST_TEST(!removed.covers("a", {2, 1})); // of a restored store
    BOOST_TEST(!removed.covers("b", {1, 1}));
    removed.add("a", {1, 3}); // learned late
    BOOST_TEST(removed.covers("a", {1, 5}));
    for (std::uint64_t i = 0; i < removed_keys::max_removals; ++i) {
        removed.add("k" + std::to_string(i), {1, 10 + i});
    }
    BOOST_TEST(removed.size() == removed_keys::max_removals);
    BOOST_TEST(!removed.covers("a", {1, 5})); // the oldest
    BOOST_TEST(removed.covers("k0", {1, 9}));
    removed.erase("k0");
    BOOST_TEST(!removed.covers("k0", {1, 9}));
}

} // namespace pomelohead::source
