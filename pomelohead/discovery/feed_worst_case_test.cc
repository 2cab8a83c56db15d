// The longest time after which a change is in force while calls are lost, on virtual time: each
// plan is played for many moments of the loss and of the change.
#include "testing/feed_play.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace pomelohead::discovery {
namespace {

using namespace std::chrono_literals;
using testing::feed_plan;
using testing::feed_play;
using testing::silence;

constexpr milliseconds bound{2'000};
constexpr milliseconds room = bound / 10;
constexpr milliseconds loss_at{6'000}; ///< when the node has followed its relay for a while
constexpr milliseconds step{40};
constexpr milliseconds longest_cycle{1'600};

using make_plan_fn = std::function<feed_plan(milliseconds loss, std::vector<milliseconds> changes)>;

std::vector<milliseconds> series(milliseconds first, milliseconds period)
{
    std::vector<milliseconds> out{0ms};
    for (milliseconds at = first; at < loss_at + 8s; at += period) {
        out.push_back(at);
    }
    return out;
}

// The longest time until a version that is acknowledged around the loss is in force.
milliseconds worst_case(const make_plan_fn& make_plan, milliseconds loss,
                        const std::vector<milliseconds>& changes)
{
    feed_play play(make_plan(loss, changes));
    play.run(loss + 8s);
    milliseconds longest{0};
    for (std::size_t i = 1; i < changes.size(); ++i) {
        if (changes[i] > loss - 2s && changes[i] < loss + 3s) {
            longest = std::max(longest, play.in_force_after(i).value_or(8s));
        }
    }
    return longest;
}

milliseconds worst_case(const make_plan_fn& make_plan)
{
    milliseconds longest{0};
    for (milliseconds phase{0}; phase < longest_cycle; phase += step) {
        const milliseconds loss = loss_at + phase;
        for (milliseconds change = loss - 800ms; change < loss + 2s; change += step) {
            longest = std::max(longest, worst_case(make_plan, loss, {0ms, change}));
        }
        for (const milliseconds period : {200ms, 330ms, 700ms}) {
            longest = std::max(longest, worst_case(make_plan, loss, series(1s, period)));
        }
    }
    return longest;
}

feed_plan plan_of(std::vector<milliseconds> changes)
{
    return {.m_bound = bound, .m_acknowledged = std::move(changes)};
}

} // namespace

BOOST_AUTO_TEST_CASE(changes_are_in_force_in_time_whatever_two_calls_are_lost)
{
    struct loss_case {
        const char* m_name;
        make_plan_fn m_make_plan;
    };
    const loss_case cases[] = {
        {"none", [](milliseconds, auto changes) { return plan_of(std::move(changes)); }},
        {"relay",
         [](milliseconds loss, auto changes) {
             feed_plan plan = plan_of(std::move(changes));
             plan.m_relay_lost_at = loss;
             return plan;
         }},
        {"relay, and the first call to the store in its place",
         [](milliseconds loss, auto changes) {
             feed_plan plan = plan_of(std::move(changes));
             plan.m_relay_lost_at = loss;
             plan.m_node_loses = 1;
             plan.m_node_loses_from = loss;
             return plan;
         }},
        {"relay and its successor",
         [](milliseconds loss, auto changes) {
             feed_plan plan = plan_of(std::move(changes));
             plan.m_has_successor = true;
             plan.m_relay_lost_at = loss;
             return plan;
         }},
        {"the relay's calls to the store",
         [](milliseconds loss, auto changes) {
             feed_plan plan = plan_of(std::move(changes));
             plan.m_store_silent_for_relay = {{loss, loss + 8s}};
             return plan;
         }},
        {"the relay's calls to the store, and the node's first",
         [](milliseconds loss, auto changes) {
             feed_plan plan = plan_of(std::move(changes));
             plan.m_store_silent_for_relay = {{loss, loss + 8s}};
             plan.m_node_loses = 1;
             plan.m_node_loses_from = loss;
             return plan;
         }},
        {"the connection of a node without a relay",
         [](milliseconds loss, auto changes) {
             feed_plan plan = plan_of(std::move(changes));
             plan.m_has_relay = false;
             plan.m_node_loses = 1;
             plan.m_node_loses_from = loss;
             return plan;
         }},
        {"the connection of a node without a relay, and the next",
         [](milliseconds loss, auto changes) {
             feed_plan plan = plan_of(std::move(changes));
             plan.m_has_relay = false;
             plan.m_node_loses = 2;
             plan.m_node_loses_from = loss;
             return plan;
         }},
    };
    for (const loss_case& c : cases) {
        const milliseconds longest = worst_case(c.m_make_plan);
        BOOST_TEST_MESSAGE(c.m_name << ": " << longest.count() << " ms");
        BOOST_TEST((longest <= bound - room), c.m_name << ": " << longest.count() << " ms");
    }
}

BOOST_AUTO_TEST_CASE(relay_whose_calls_take_long_delays_no_follower)
{
    for (const milliseconds latency : {300ms, 700ms, 1'200ms}) {
        const milliseconds longest = worst_case([&](milliseconds loss, auto changes) {
            feed_plan plan = plan_of(std::move(changes));
            plan.m_relay_slow_from = loss;
            plan.m_relay_latency = latency;
            return plan;
        });
        BOOST_TEST_MESSAGE(latency.count() << " ms a call: " << longest.count() << " ms");
        BOOST_TEST((longest <= bound - room), latency.count()
                                                  << " ms a call: " << longest.count() << " ms");
    }
}

BOOST_AUTO_TEST_CASE(changes_made_while_watches_hear_nothing_are_in_force_in_time)
{
    for (const bool has_relay : {true, false}) {
        for (const milliseconds deaf : {1'000ms, 2'500ms}) {
            const milliseconds longest = worst_case([&](milliseconds loss, auto changes) {
                feed_plan plan = plan_of(std::move(changes));
                plan.m_has_relay = has_relay;
                plan.m_watches_deaf = {loss, loss + deaf};
                return plan;
            });
            BOOST_TEST_MESSAGE("deaf for " << deaf.count() << " ms, relay: " << has_relay << ": "
                                           << longest.count() << " ms");
            BOOST_TEST((longest <= bound - room), longest.count() << " ms");
        }
    }
}

// A node has to go by what is acknowledged after an outage of the store from the time on at which
// it counts as connected again.
BOOST_AUTO_TEST_CASE(changes_after_an_outage_of_the_store_are_in_force_in_time)
{
    constexpr milliseconds connected_after{3'000};
    constexpr milliseconds connected_room = connected_after / 10;
    for (const bool loses_a_call : {false, true}) {
        milliseconds longest{0}; // past what is allowed, less the room
        for (const milliseconds outage : {700ms, 2'500ms, 9'000ms}) {
            for (milliseconds phase{0}; phase < longest_cycle; phase += step) {
                for (std::uint64_t seed = 1; seed <= 12; ++seed) {
                    const milliseconds restored = loss_at + phase + outage;
                    feed_plan plan = plan_of(series(restored + 50ms, 300ms));
                    plan.m_store_silent_for_relay = {{loss_at + phase, restored}};
                    plan.m_store_silent_for_node = plan.m_store_silent_for_relay;
                    plan.m_node_loses = loses_a_call ? 1 : 0;
                    plan.m_node_loses_from = restored;
                    plan.m_seed = seed;
                    feed_play play(plan);
                    play.run(restored + 7s);
                    for (std::size_t i = 1; i < plan.m_acknowledged.size(); ++i) {
                        const milliseconds at = plan.m_acknowledged[i];
                        if (at < restored + 4s) {
                            const milliseconds due = std::max(
                                at + bound - room, restored + connected_after - connected_room);
                            longest = std::max(longest, play.in_force_at(i) - due);
                        }
                    }
                }
            }
        }
        BOOST_TEST_MESSAGE("a call lost after it: " << loses_a_call << ", " << longest.count()
                                                    << " ms late");
        BOOST_TEST(longest.count() == 0);
    }
}

} // namespace pomelohead::discovery
