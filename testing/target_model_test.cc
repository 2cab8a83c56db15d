#include "testing/target_model.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace pomelohead::testing {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(a_target_runs_no_more_than_its_slots)
{
    target_model model({.m_slots = 2}, {});
    BOOST_TEST((model.begin("a", std::nullopt, {}) == target_answer::run));
    BOOST_TEST((model.begin("a", 1ms, {}) == target_answer::run));
    BOOST_TEST((model.begin("b", std::nullopt, {}) == target_answer::no_slot));
    model.end(run_end::finished, {});
    BOOST_TEST((model.begin("b", 0ms, {}) == target_answer::too_late));
    BOOST_TEST((model.begin("b", std::nullopt, {}) == target_answer::run));
    BOOST_TEST(model.runs().at("a") == 2U);
    BOOST_TEST(model.runs().at("b") == 1U);
}

BOOST_AUTO_TEST_CASE(work_takes_longer_in_slow_episodes_and_after_a_cold_start)
{
    const time_point start{};
    target_model slow({.m_work_mean_ms = 4,
                       .m_slow_factor = 10,
                       .m_slow_period = 5000ms,
                       .m_slow_length = 2000ms},
                      start);
    BOOST_TEST((slow.work_time(std::nullopt, start + 1999ms) == 40ms));
    BOOST_TEST((slow.work_time(std::nullopt, start + 2000ms) == 4ms));
    BOOST_TEST((slow.work_time(7, start + 5000ms) == 70ms));

    target_model cold({.m_work_mean_ms = 4, .m_cold_factor = 3, .m_cold_length = 1000ms}, start);
    BOOST_TEST((cold.work_time(std::nullopt, start) == 12ms));
    BOOST_TEST((cold.work_time(std::nullopt, start + 500ms) == 8ms));
    BOOST_TEST((cold.work_time(std::nullopt, start + 1000ms) == 4ms));
}

BOOST_AUTO_TEST_CASE(reports_are_as_old_as_their_lag)
{
    const time_point start{};
    target_model model({.m_report_lag = 3000ms}, start);
    model.begin("a", std::nullopt, start + 1s);
    model.drain(start + 2s);
    BOOST_TEST(model.load(start + 3s).at("running") == 0);
    BOOST_TEST(model.load(start + 4s).at("running") == 1);
    BOOST_TEST(model.health(start + 4s).at("state") == "ok");
    BOOST_TEST(model.health(start + 5s).at("state") == "draining");
    BOOST_TEST((model.begin("b", std::nullopt, start + 3s) == target_answer::draining));
}

} // namespace pomelohead::testing
