// Tests that the shares of a split route hold over short sequences of requests.
#include "pomelohead/routing/weighted_round_robin.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

namespace pomelohead::routing {
namespace {

config::route divided(std::vector<config::service_share> shares)
{
    config::route route;
    route.m_name = "r";
    route.m_shares = std::move(shares);
    return route;
}

BOOST_AUTO_TEST_CASE(each_service_stays_within_one_request_of_its_share)
{
    const std::vector<std::vector<config::service_share>> cases = {
        {{"a", 1}, {"b", 1}},
        {{"a", 90}, {"b", 10}},
        {{"a", 0}, {"b", 3}},
        {{"a", 5}, {"b", 3}, {"c", 2}},
    };
    for (const auto& shares : cases) {
        const config::route route = divided(shares);
        weighted_round_robin rotation;
        double sum = 0;
        for (const auto& share : shares) {
            sum += share.m_weight;
        }
        std::map<std::string, double> counts;
        for (int n = 1; n <= 500; ++n) {
            ++counts[rotation.next(route)];
            for (const auto& share : shares) {
                const double expected = n * share.m_weight / sum;
                BOOST_TEST(std::abs(counts[share.m_service] - expected) <= 1.0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(new_weights_apply_to_the_next_request)
{
    weighted_round_robin rotation;
    const config::route before = divided({{"a", 1}, {"b", 0}});
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(rotation.next(before) == "a");
    }
    const config::route after = divided({{"a", 0}, {"b", 1}});
    BOOST_TEST(rotation.next(after) == "b");
}

BOOST_AUTO_TEST_CASE(an_undivided_route_has_one_service)
{
    weighted_round_robin rotation;
    config::route route;
    route.m_service = "only";
    BOOST_TEST(rotation.next(route) == "only");
}

} // namespace
} // namespace pomelohead::routing
