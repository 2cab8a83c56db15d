#include "pomelohead/discovery/relay_selector.h"

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

// The number of calls to the store does not grow with the size of the failure domain.
BOOST_AUTO_TEST_CASE(one_node_per_failure_domain_calls_the_store)
{
    for (const int count : {1, 2, 3, 22, 62}) {
        int direct_count = 0;
        std::set<std::string> relays;
        for (const std::string& self : addresses(count)) {
            relay_selector selector(self, relay_role::preferred);
            selector.set_members(addresses(count));
            const auto relay = selector.choose(start_time);
            direct_count += relay ? 0 : 1;
            BOOST_TEST(selector.is_relay(start_time) == !relay);
            if (relay) {
                relays.insert(*relay);
            }
        }
        BOOST_TEST(direct_count == 1);
        BOOST_TEST(relays.size() <= 1U);
    }
}

BOOST_AUTO_TEST_CASE(node_without_known_members_calls_the_store)
{
    relay_selector selector("10.1.0.1", relay_role::preferred);
    BOOST_TEST(!selector.choose(start_time));
    BOOST_TEST(!selector.is_relay(start_time));
}

// Two of ten nodes can relay. All nodes find the same one, with one query to each before it.
BOOST_AUTO_TEST_CASE(declining_nodes_are_asked_once)
{
    const std::set<std::string> capable = {"10.1.0.3", "10.1.0.8"};
    std::set<std::string> relays;
    int direct_count = 0;
    for (const std::string& self : addresses(10)) {
        relay_selector selector(self,
                                capable.contains(self) ? relay_role::preferred : relay_role::none);
        selector.set_members(addresses(10));
        int declined_count = 0;
        auto relay = selector.choose(start_time);
        while (relay && !capable.contains(*relay)) {
            selector.record_decline(*relay, start_time);
            relay = selector.choose(start_time);
            ++declined_count;
        }
        BOOST_TEST(declined_count <= 8);
        direct_count += relay ? 0 : 1;
        relays.insert(relay.value_or(self));
        BOOST_TEST((selector.choose(start_time + 50s) == relay));
    }
    BOOST_TEST(relays.size() == 1U);
    BOOST_TEST(direct_count == 1);
}

BOOST_AUTO_TEST_CASE(all_nodes_call_the_store_if_none_can_relay)
{
    for (const std::string& self : addresses(5)) {
        relay_selector selector(self, relay_role::none);
        selector.set_members(addresses(5));
        while (const auto relay = selector.choose(start_time)) {
            selector.record_decline(*relay, start_time);
        }
        BOOST_TEST(!selector.is_relay(start_time));
    }
}

BOOST_AUTO_TEST_CASE(failed_relay_backs_off_exponentially)
{
    relay_selector selector("10.1.0.99", relay_role::preferred); // its host has no target
    selector.set_members(addresses(1));
    time_point now = start_time;
    milliseconds backoff = relay_selector::initial_backoff;
    for (int failures = 0; failures < 10; ++failures) {
        BOOST_REQUIRE(selector.choose(now));
        selector.record_failure("10.1.0.1", now);
        BOOST_TEST(!selector.choose(now + backoff - 1ms));
        now += backoff;
        backoff = std::min(backoff * 2, relay_selector::max_backoff);
    }
    selector.record_success("10.1.0.1");
    selector.record_failure("10.1.0.1", now);
    BOOST_TEST(selector.choose(now + relay_selector::initial_backoff).has_value());
}

BOOST_AUTO_TEST_CASE(leaving_relay_is_replaced_and_other_departures_change_nothing)
{
    std::vector<std::string> members = addresses(10);
    relay_selector selector("10.1.0.99", relay_role::preferred);
    selector.set_members(members);
    const auto first = selector.choose(start_time);
    std::erase(members, *first);
    selector.set_members(members);
    const auto second = selector.choose(start_time);
    BOOST_TEST((second && second != first));
    // The departure of another node does not change the choice.
    std::erase(members, members.front() == *second ? members.back() : members.front());
    selector.set_members(members);
    BOOST_TEST((selector.choose(start_time) == second));
}

// A node that watches the store must switch to a relay soon after one becomes available.
BOOST_AUTO_TEST_CASE(choice_is_stable_until_a_failed_relay_may_be_retried)
{
    relay_selector selector("10.1.0.99", relay_role::preferred);
    BOOST_TEST(
        (selector.time_until_change(start_time) == duration::zero())); // no members are known
    selector.set_members(addresses(2));
    BOOST_TEST((selector.time_until_change(start_time) == duration::zero()));
    selector.record_decline("10.1.0.1", start_time);
    BOOST_TEST((selector.time_until_change(start_time) == duration::zero()));
    selector.record_failure("10.1.0.2", start_time + 1s);
    BOOST_TEST(
        (selector.time_until_change(start_time + 2s) == relay_selector::initial_backoff - 1s));
    selector.record_decline("10.1.0.2", start_time + 2s);
    BOOST_TEST(!selector.time_until_change(start_time + 3s));
}

// With a few hosts that have room, a node that was told of them queries no other one.
BOOST_AUTO_TEST_CASE(known_relays_are_followed_in_order_without_probing)
{
    const std::vector<std::string> known = {"10.1.0.3", "10.1.0.8", "10.9.9.9"};
    relay_selector selector("10.1.0.99", relay_role::none);
    selector.add_relays(known);
    selector.set_members(addresses(10));
    const std::vector<std::string> order = selector.relays();
    BOOST_TEST(order.size() == 2U); // the third one is in another failure domain
    BOOST_TEST((selector.choose(start_time) == order.at(0)));
    selector.record_failure(order.at(0), start_time);
    BOOST_TEST((selector.choose(start_time) == order.at(1)));
    selector.record_not_ready(order.at(1), start_time);
    BOOST_TEST(!selector.choose(start_time));
    BOOST_TEST(!selector.is_relay(start_time));
    BOOST_TEST((selector.choose(start_time + relay_selector::not_ready_backoff) == order.at(1)));
}

// Exactly one node of a failure domain relays, whether some of its hosts have room or none has.
BOOST_AUTO_TEST_CASE(fallback_relays_only_where_no_preferred_one_is_known)
{
    for (const bool has_preferred : {false, true}) {
        const std::string preferred = "10.1.0.5";
        int relay_count = 0;
        for (const std::string& self : addresses(10)) {
            relay_selector selector(self, has_preferred && self == preferred
                                              ? relay_role::preferred
                                              : relay_role::fallback);
            if (has_preferred) {
                selector.add_relays({preferred});
            }
            selector.set_members(addresses(10));
            while (has_preferred && self == preferred && selector.choose(start_time)) {
                selector.record_decline(*selector.choose(start_time), start_time);
            }
            relay_count += selector.is_relay(start_time) ? 1 : 0;
            BOOST_TEST((selector.is_relay(start_time) == !selector.choose(start_time)));
            BOOST_TEST((!has_preferred || selector.is_relay(start_time) == (self == preferred)));
        }
        BOOST_TEST(relay_count == 1);
    }
}

BOOST_AUTO_TEST_CASE(known_relays_are_bounded)
{
    relay_selector selector("10.1.0.1", relay_role::preferred);
    selector.set_members(addresses(5));
    for (int i = 0; i < 10'000; ++i) {
        selector.add_relays({"10." + std::to_string(i / 250) + ".7." + std::to_string(i % 250)});
    }
    BOOST_TEST(selector.all_relays().size() <= 200U);
    selector.add_relays({"10.1.0.4"});
    BOOST_TEST(selector.relays().size() == 2U);
}

} // namespace pomelohead::discovery
