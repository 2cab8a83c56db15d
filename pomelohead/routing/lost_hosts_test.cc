#include "pomelohead/routing/lost_hosts.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::routing {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{};

// Counts the calls that try an unreachable host during ten seconds.
BOOST_AUTO_TEST_CASE(dead_host_is_tried_rarely)
{
    lost_hosts lost;
    int tried = 0;
    for (time_point now = start; now < start + 10s; now += 10ms) {
        if (!lost.is_lost("a", now)) {
            ++tried;
            lost.failed("a", now);
        }
        BOOST_TEST(!lost.is_lost("b", now));
    }
    BOOST_TEST(tried <= 13);
}

BOOST_AUTO_TEST_CASE(host_is_retried_within_one_second)
{
    lost_hosts lost;
    time_point now = start;
    for (int i = 0; i < 20; ++i) {
        lost.failed("a", now);
        BOOST_TEST(lost.is_lost("a", now + 200ms));
        now += 1s;
        BOOST_TEST(!lost.is_lost("a", now));
    }
}

BOOST_AUTO_TEST_CASE(concurrent_failures_count_once)
{
    lost_hosts lost;
    for (int i = 0; i < 50; ++i) {
        lost.failed("a", start + i * 1ms);
    }
    BOOST_TEST(!lost.is_lost("a", start + 300ms));
}

BOOST_AUTO_TEST_CASE(successful_connection_clears_backoff)
{
    lost_hosts lost;
    lost.failed("a", start);
    lost.reached("a");
    BOOST_TEST(!lost.is_lost("a", start));
}

} // namespace
} // namespace pomelohead::routing
