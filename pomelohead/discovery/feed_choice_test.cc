#include "pomelohead/discovery/feed_choice.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace pomelohead::discovery {
namespace {

using namespace std::chrono_literals;

constexpr time_point start_time{};

std::vector<std::string> addresses(int count)
{
    std::vector<std::string> out;
    for (int i = 1; i <= count; ++i) {
        out.push_back("10.1.0." + std::to_string(i));
    }
    return out;
}

} // namespace

// The cost to the store does not grow with the failure domain.
BOOST_AUTO_TEST_CASE(one_node_of_a_domain_asks_the_store)
{
    for (const int count : {1, 2, 3, 22, 62}) {
        int direct = 0;
        std::set<std::string> relays;
        for (const std::string& self : addresses(count)) {
            feed_choice feeds(self, true);
            feeds.set_members(addresses(count));
            const auto relay = feeds.choose(start_time);
            direct += relay ? 0 : 1;
            BOOST_TEST(feeds.is_relay(start_time) == !relay);
            if (relay) {
                relays.insert(*relay);
            }
        }
        BOOST_TEST(direct == 1);
        BOOST_TEST(relays.size() <= 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_node_that_knows_no_others_asks_the_store)
{
    feed_choice feeds("10.1.0.1", true);
    BOOST_TEST(!feeds.choose(start_time));
    BOOST_TEST(!feeds.is_relay(start_time));
}

// Two of ten can relay. All find the same one, at the cost of one question to each before it.
BOOST_AUTO_TEST_CASE(nodes_that_decline_are_asked_once)
{
    const std::set<std::string> able = {"10.1.0.3", "10.1.0.8"};
    std::set<std::string> relays;
    int direct = 0;
    for (const std::string& self : addresses(10)) {
        feed_choice feeds(self, able.contains(self));
        feeds.set_members(addresses(10));
        int questions = 0;
        auto relay = feeds.choose(start_time);
        while (relay && !able.contains(*relay)) {
            feeds.declined(*relay, start_time);
            relay = feeds.choose(start_time);
            ++questions;
        }
        BOOST_TEST(questions <= 8);
        direct += relay ? 0 : 1;
        relays.insert(relay.value_or(self));
        BOOST_TEST((feeds.choose(start_time + 50s) == relay));
    }
    BOOST_TEST(relays.size() == 1U);
    BOOST_TEST(direct == 1);
}

BOOST_AUTO_TEST_CASE(where_nobody_can_relay_each_asks_the_store)
{
    for (const std::string& self : addresses(5)) {
        feed_choice feeds(self, false);
        feeds.set_members(addresses(5));
        while (const auto relay = feeds.choose(start_time)) {
            feeds.declined(*relay, start_time);
        }
        BOOST_TEST(!feeds.is_relay(start_time));
    }
}

BOOST_AUTO_TEST_CASE(a_relay_that_failed_is_passed_over_longer_each_time)
{
    feed_choice feeds("10.1.0.99", true); // no target stands beside it
    feeds.set_members(addresses(1));
    time_point now = start_time;
    milliseconds pause = feed_choice::first_pause;
    for (int failures = 0; failures < 10; ++failures) {
        BOOST_REQUIRE(feeds.choose(now));
        feeds.failed("10.1.0.1", now);
        BOOST_TEST(!feeds.choose(now + pause - 1ms));
        now += pause;
        pause = std::min(pause * 2, feed_choice::longest_pause);
    }
    feeds.reached("10.1.0.1");
    feeds.failed("10.1.0.1", now);
    BOOST_TEST(feeds.choose(now + feed_choice::first_pause).has_value());
}

BOOST_AUTO_TEST_CASE(when_the_relay_leaves_only_its_place_is_filled_anew)
{
    std::vector<std::string> members = addresses(10);
    feed_choice feeds("10.1.0.99", true);
    feeds.set_members(members);
    const auto first = feeds.choose(start_time);
    std::erase(members, *first);
    feeds.set_members(members);
    const auto second = feeds.choose(start_time);
    BOOST_TEST((second && second != first));
    // Another that leaves changes nothing.
    std::erase(members, members.front() == *second ? members.back() : members.front());
    feeds.set_members(members);
    BOOST_TEST((feeds.choose(start_time) == second));
}

// A node that watches the store must turn to a relay soon after there is one.
BOOST_AUTO_TEST_CASE(a_choice_is_settled_until_a_failed_relay_may_be_back)
{
    feed_choice feeds("10.1.0.99", true);
    BOOST_TEST((feeds.settled_for(start_time) == duration::zero())); // no members are known
    feeds.set_members(addresses(2));
    BOOST_TEST((feeds.settled_for(start_time) == duration::zero()));
    feeds.declined("10.1.0.1", start_time);
    BOOST_TEST((feeds.settled_for(start_time) == duration::zero()));
    feeds.failed("10.1.0.2", start_time + 1s);
    BOOST_TEST((feeds.settled_for(start_time + 2s) == feed_choice::first_pause - 1s));
    feeds.declined("10.1.0.2", start_time + 2s);
    BOOST_TEST(!feeds.settled_for(start_time + 3s));
}

} // namespace pomelohead::discovery
