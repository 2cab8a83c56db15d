// m_short_first under overload: routes with very different run times offer one target more
// than its slots can serve. Checks that more answers are on time, that no route starves,
// and that refusals come early enough to try another owner.
#include "pomelohead/admission/slot_queue.h"
#include "testing/overload_play.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::admission {
namespace {

using namespace std::chrono_literals;

constexpr time_point start_time{};

admission_options make_options(bool short_first)
{
    admission_options options;
    options.m_slow_start = false;
    options.m_bounded_wait = false;
    options.m_objective_order = true;
    options.m_short_first = short_first;
    return options;
}

// On 9 slots, uploads offer a load of 7 slots, calls 5 slots and reads 4 slots.
const std::vector<testing::offered_route> mixed_routes = {
    {.m_name = "upload", .m_run_time = 94ms, .m_gap = 13ms, .m_objective = 400ms, .m_deadline = 1s},
    {.m_name = "call", .m_run_time = 22ms, .m_gap = 4ms, .m_objective = 100ms, .m_deadline = 250ms},
    {.m_name = "read", .m_run_time = 31ms, .m_gap = 7ms, .m_objective = 150ms, .m_deadline = 400ms},
};

int on_time(const std::map<std::string, testing::route_result>& results)
{
    int sum = 0;
    for (const auto& [route, result] : results) {
        sum += result.m_on_time;
    }
    return sum;
}

double served_share(const testing::route_result& result)
{
    return static_cast<double>(result.m_on_time + result.m_late) / result.m_offered;
}

} // namespace

BOOST_AUTO_TEST_CASE(short_first_increases_on_time_answers)
{
    const auto with = testing::play_overload(make_options(true), 9, mixed_routes, 20s);
    const auto without = testing::play_overload(make_options(false), 9, mixed_routes, 20s);
    BOOST_TEST(on_time(with) > 1.25 * on_time(without));
    BOOST_TEST(served_share(with.at("call")) > served_share(without.at("call")));
}

BOOST_AUTO_TEST_CASE(no_route_starves)
{
    for (const milliseconds call_gap : {4ms, 2ms, 1ms}) {
        BOOST_TEST_CONTEXT("a call every " << call_gap.count() << " ms")
        {
            std::vector<testing::offered_route> routes = mixed_routes;
            routes[1].m_gap = call_gap;
            const auto results = testing::play_overload(make_options(true), 9, routes, 20s);
            double served = 0;
            double offered = 0;
            for (const auto& [route, result] : results) {
                served += result.m_on_time + result.m_late;
                offered += result.m_offered;
            }
            // A route counts as starved below a quarter of the overall served fraction.
            BOOST_TEST(served_share(results.at("upload")) > 0.25 * served / offered);
        }
    }
}

BOOST_AUTO_TEST_CASE(long_requests_are_refused_early)
{
    const auto results = testing::play_overload(make_options(true), 9, mixed_routes, 20s);
    const testing::route_result& upload = results.at("upload");
    BOOST_TEST(upload.m_refused > 0);
    // A refusal within an eighth of the objective leaves time for another owner.
    BOOST_TEST((upload.m_total_hold / upload.m_refused <= 400ms / 8));
    BOOST_TEST((upload.m_longest_hold <= 400ms));
}

BOOST_AUTO_TEST_CASE(all_requests_are_served_below_capacity)
{
    for (const auto& [route, result] :
         testing::play_overload(make_options(true), 18, mixed_routes, 20s)) {
        BOOST_TEST_CONTEXT(route)
        {
            BOOST_TEST(result.m_refused == 0);
            BOOST_TEST(result.m_late == 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(urgency_precedes_run_time)
{
    slot_queue queue(make_options(true), 1);
    request_facts facts{.m_id = 1, .m_deadline = start_time + 800ms};
    facts.m_objective = start_time + 500ms;
    BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::start));
    facts.m_id = 2;
    facts.m_route = "short";
    facts.m_expected = 10ms;
    facts.m_urgency = config::urgency::deferrable;
    BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::queued));
    facts.m_id = 3;
    facts.m_route = "long";
    facts.m_expected = 90ms;
    facts.m_urgency = config::urgency::normal;
    BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::queued));
    BOOST_TEST((queue.finish(1, start_time + 10ms) == std::vector<std::uint64_t>{3}));
    BOOST_TEST((queue.finish(3, start_time + 100ms) == std::vector<std::uint64_t>{2}));
}

BOOST_AUTO_TEST_CASE(route_floor_is_relative_to_all_routes)
{
    constexpr auto work = config::work_class::short_work;
    route_shares shares(1s);
    BOOST_TEST(!shares.is_below_floor("a", work, 0.5));
    shares.add_offered("a", work, 100ms, start_time + 1s);
    shares.add_offered("b", work, 100ms, start_time + 1s);
    shares.add_started("b", work, 100ms, start_time + 1s);
    BOOST_TEST(shares.is_below_floor("a", work, 0.5));
    BOOST_TEST(!shares.is_below_floor("b", work, 0.5));
    shares.add_started("a", work, 40ms, start_time + 1s);
    // Route a has 0.29 of the started and half of the offered run time.
    BOOST_TEST(!shares.is_below_floor("a", work, 0.5));
    BOOST_TEST(shares.is_below_floor("a", work, 0.6));
    BOOST_TEST(shares.share_of("a", work) == 40.0 / 140.0, boost::test_tools::tolerance(1e-9));
}

} // namespace pomelohead::admission
