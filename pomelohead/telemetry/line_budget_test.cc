#include "pomelohead/telemetry/line_budget.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(lines_beyond_the_budget_are_dropped_and_counted)
{
    line_budget budget;
    time_point now{};
    int written = 0;
    std::uint64_t missing = 0;
    constexpr int seconds = 20;
    constexpr int lines = seconds * 1'000;
    for (int i = 0; i < lines; ++i) {
        now += 1ms;
        if (budget.take(now)) {
            ++written;
            missing += budget.take_dropped();
        }
    }
    missing += budget.take_dropped();
    BOOST_TEST(written <= line_budget::burst + seconds * line_budget::lines_per_s + 1);
    BOOST_TEST(written >= seconds * line_budget::lines_per_s);
    BOOST_TEST(written + missing == static_cast<std::uint64_t>(lines));
    BOOST_TEST(budget.dropped_in_all() == missing);
}

BOOST_AUTO_TEST_CASE(a_quiet_node_drops_nothing)
{
    line_budget budget;
    time_point now{};
    for (int i = 0; i < 1'000; ++i) {
        now += 25ms;
        BOOST_TEST(budget.take(now));
    }
    BOOST_TEST(budget.dropped_in_all() == 0U);
}

} // namespace pomelohead
