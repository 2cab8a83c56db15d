#include "testing/manual_timer_service.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::testing {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(periodic_callbacks_run_once_a_period)
{
    manual_timer_service timers;
    int ticks = 0;
    auto tick = timers.every(1s, [&] { ++ticks; });
    timers.advance(3500ms);
    BOOST_TEST(ticks == 3);
    tick.cancel();
    timers.advance(5s);
    BOOST_TEST(ticks == 3);
}

BOOST_AUTO_TEST_CASE(a_freeze_is_one_late_call)
{
    manual_timer_service timers;
    int ticks = 0;
    auto tick = timers.every(1s, [&] { ++ticks; });
    timers.freeze(60s);
    BOOST_TEST(ticks == 1);
}

} // namespace pomelohead::testing
