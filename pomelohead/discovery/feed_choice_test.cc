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
            feed_choice feeds(self);
            feeds.set_members(addresses(count));
            const auto relay = feeds.choose(start_time);
            direct += relay ? 0 : 1;
            BOOST_TEST(feeds.is_relay() == !relay);
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
    feed_choice feeds("10.1.0.1");
    BOOST_TEST(!feeds.choose(start_time));
    BOOST_TEST(!feeds.is_relay());
}

BOOST_AUTO_TEST_CASE(a_relay_that_failed_is_passed_over_for_a_while)
{
    feed_choice feeds("10.1.0.99"); // no target stands beside it
    feeds.set_members(addresses(5));
    const auto relay = feeds.choose(start_time);
    BOOST_REQUIRE(relay);
    feeds.failed(*relay, start_time);
    BOOST_TEST(!feeds.choose(start_time + feed_choice::retry_after - 1ms));
    BOOST_TEST((feeds.choose(start_time + feed_choice::retry_after) == relay));
}

BOOST_AUTO_TEST_CASE(when_the_relay_leaves_only_its_place_is_filled_anew)
{
    std::vector<std::string> members = addresses(10);
    feed_choice feeds("10.1.0.99");
    feeds.set_members(members);
    const auto first = feeds.choose(start_time);
    std::erase(members, *first);
    feeds.set_members(members);
    const auto second = feeds.choose(start_time);
    BOOST_TEST((second && second != first));
    // Another that leaves changes nothing.
    std::erase_if(members, [&, gone = false](const std::string& m) mutable {
        return !gone && m != *second && (gone = true);
    });
    feeds.set_members(members);
    BOOST_TEST((feeds.choose(start_time) == second));
}

} // namespace pomelohead::discovery
