// Latency objectives under overload. A simulation on a virtual clock offers one target more
// than its slots can serve, with and without objectives, and counts the answers within the
// objective.
#include "pomelohead/admission/slot_queue.h"
#include "testing/overload_play.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::admission {
namespace {

using namespace std::chrono_literals;

constexpr time_point start_time{};
constexpr std::uint32_t slots = 9;
constexpr duration run_time = 75ms;
constexpr duration objective = 300ms;
constexpr duration deadline = 800ms;

admission_options make_options(bool with_objectives)
{
    admission_options options;
    options.m_slow_start = false;
    options.m_bounded_wait = false;
    options.m_objective_order = with_objectives;
    return options;
}

// Offers a request every `gap` for ten seconds.
testing::route_result play(const admission_options& options, duration gap)
{
    const testing::offered_route route{.m_name = "r",
                                       .m_run_time = run_time,
                                       .m_gap = gap,
                                       .m_objective = objective,
                                       .m_deadline = deadline};
    return testing::play_overload(options, slots, {route}, 10s).at("r");
}

} // namespace

BOOST_AUTO_TEST_CASE(objectives_increase_on_time_answers_under_overload)
{
    // The slots serve 120 requests a second.
    for (const milliseconds gap : {6ms, 4ms, 3ms}) {
        BOOST_TEST_CONTEXT(gap.count() << " ms apart")
        {
            const testing::route_result with = play(make_options(true), gap);
            const testing::route_result without = play(make_options(false), gap);
            const double capacity = 10.0 / 0.075 * slots;
            BOOST_TEST(with.m_on_time >= 0.9 * capacity);
            BOOST_TEST(with.m_on_time > 2 * without.m_on_time);
            // The total number of answers is about the same.
            BOOST_TEST(with.m_on_time + with.m_late >= 0.97 * (without.m_on_time + without.m_late));
            // Refusals come early enough to try another owner within the objective.
            BOOST_TEST((with.m_longest_hold <= objective));
        }
    }
}

BOOST_AUTO_TEST_CASE(objectives_have_no_effect_below_capacity)
{
    const testing::route_result with = play(make_options(true), 9ms);
    BOOST_TEST(with.m_on_time == play(make_options(false), 9ms).m_on_time);
    BOOST_TEST(with.m_late == 0);
}

BOOST_AUTO_TEST_CASE(request_past_its_objective_waits_at_most_late_wait)
{
    slot_queue queue(make_options(true), 1);
    request_facts facts{.m_id = 1, .m_deadline = start_time + 800ms};
    BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::start));
    facts.m_id = 2;
    facts.m_objective = start_time - 100ms;
    BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::queued));
    BOOST_TEST((queue.expire(start_time + 51ms) == std::vector<std::uint64_t>{2}));
}

BOOST_AUTO_TEST_CASE(request_within_its_objective_precedes_a_late_one)
{
    slot_queue queue(make_options(true), 1);
    request_facts facts{.m_id = 1, .m_deadline = start_time + 800ms};
    BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::start));
    facts.m_id = 2;
    facts.m_objective = start_time - 100ms;
    BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::queued));
    facts.m_id = 3;
    facts.m_objective = start_time + 300ms;
    BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::queued));
    BOOST_TEST((queue.finish(1, start_time + 10ms) == std::vector<std::uint64_t>{3}));
}

BOOST_AUTO_TEST_CASE(deep_first_orders_by_depth_before_urgency)
{
    for (const bool deep_first : {true, false}) {
        admission_options options = make_options(true);
        options.m_deep_first = deep_first;
        slot_queue queue(options, 1);
        request_facts facts{.m_id = 1, .m_deadline = start_time + 800ms};
        BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::start));
        facts.m_id = 2;
        facts.m_urgency = config::urgency::urgent;
        BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::queued));
        facts.m_id = 3;
        facts.m_urgency = config::urgency::deferrable;
        facts.m_depth = 1;
        BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::queued));
        const std::uint64_t first = deep_first ? 3 : 2;
        BOOST_TEST((queue.finish(1, start_time + 10ms) == std::vector<std::uint64_t>{first}));
    }
}

} // namespace pomelohead::admission
