#include "pomelohead/routing/unreachable_hosts.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::routing {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{};

// Counts the calls that try an unreachable host during ten seconds.
BOOST_AUTO_TEST_CASE(dead_host_is_tried_rarely)
{
    unreachable_hosts lost;
    int tried = 0;
    for (time_point now = start; now < start + 10s; now += 10ms) {
        if (!lost.is_unreachable("a", now)) {
            ++tried;
            lost.record_failure("a", now);
        }
        BOOST_TEST(!lost.is_unreachable("b", now));
    }
    BOOST_TEST(tried <= 13);
}

BOOST_AUTO_TEST_CASE(host_is_retried_within_one_second)
{
    unreachable_hosts lost;
    time_point now = start;
    for (int i = 0; i < 20; ++i) {
        lost.record_failure("a", now);
        BOOST_TEST(lost.is_unreachable("a", now + 200ms));
        now += 1s;
        BOOST_TEST(!lost.is_unreachable("a", now));
    }
}

BOOST_AUTO_TEST_CASE(concurrent_failures_count_once)
{
    unreachable_hosts lost;
    for (int i = 0; i < 50; ++i) {
        lost.record_failure("a", start + i * 1ms);
    }
    BOOST_TEST(!lost.is_unreachable("a", start + 300ms));
}

BOOST_AUTO_TEST_CASE(successful_connection_clears_backoff)
{
    unreachable_hosts lost;
    lost.record_failure("a", start);
    lost.record_success("a");
    BOOST_TEST(!lost.is_unreachable("a", start));
}

} // namespace
} // namespace pomelohead::routing
