// The load that objectives answer: more arrives than the slots can serve. Played on a
// virtual clock against one target, with and without them; what counts is how many
// callers have their answer within the objective.
#include "pomelohead/admission/slot_queue.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace pomelohead::admission {
namespace {

using namespace std::chrono_literals;

constexpr time_point start_time{};
constexpr std::uint32_t slots = 9;
constexpr duration run_time = 75ms;
constexpr duration objective = 300ms;
constexpr duration deadline = 800ms;

admission_options options_of(bool with_objectives)
{
    admission_options options;
    options.m_slow_start = false;
    options.m_bounded_wait = false;
    options.m_objective_order = with_objectives;
    return options;
}

struct played {
    int m_offered = 0;
    int m_on_time = 0;
    int m_late = 0;
    duration m_longest_hold{}; ///< until a refusal
};

// Offers a request every `gap` for ten seconds.
played play(admission_options options, duration gap, std::uint32_t depth = 0)
{
    slot_queue queue(options, slots);
    std::multimap<time_point, std::uint64_t> ends;
    std::map<std::uint64_t, time_point> arrived;
    played out;
    time_point now = start_time + 1s;
    const auto start = [&](std::uint64_t id) { ends.emplace(now + run_time, id); };
    const auto tend = [&] {
        for (const std::uint64_t id : queue.expire(now)) {
            out.m_longest_hold = std::max(out.m_longest_hold, now - arrived[id]);
        }
        for (const std::uint64_t id : queue.due_starts(now)) {
            start(id);
        }
    };
    const time_point last = now + 10s;
    for (std::uint64_t id = 1; now < last; ++id) {
        const time_point next = now + gap;
        ++out.m_offered;
        arrived[id] = now;
        request_facts facts;
        facts.m_id = id;
        facts.m_depth = depth;
        facts.m_route = "r";
        facts.m_deadline = now + deadline;
        facts.m_objective = now + objective;
        if (queue.offer(facts, now).m_verdict == verdict::start) {
            start(id);
        }
        tend();
        while (!ends.empty() && ends.begin()->first <= next) {
            now = ends.begin()->first;
            const std::uint64_t done = ends.begin()->second;
            ends.erase(ends.begin());
            const duration took = now - arrived[done];
            (took <= objective ? out.m_on_time : out.m_late) += took <= deadline ? 1 : 0;
            for (const std::uint64_t started : queue.finish(done, now)) {
                start(started);
            }
            tend();
        }
        now = next;
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(in_an_overload_the_slots_answer_on_time)
{
    // The slots serve 120 a second.
    for (const milliseconds gap : {6ms, 4ms, 3ms}) {
        BOOST_TEST_CONTEXT(gap.count() << " ms apart")
        {
            const played with = play(options_of(true), gap);
            const played without = play(options_of(false), gap);
            const double capacity = 10.0 / 0.075 * slots;
            BOOST_TEST(with.m_on_time >= 0.9 * capacity);
            BOOST_TEST(with.m_on_time > 2 * without.m_on_time);
            // Nothing is lost by it: as many are answered in all.
            BOOST_TEST(with.m_on_time + with.m_late >= 0.97 * (without.m_on_time + without.m_late));
            // A refusal comes while another owner can still be tried in time.
            BOOST_TEST((with.m_longest_hold <= objective));
        }
    }
}

BOOST_AUTO_TEST_CASE(below_capacity_objectives_change_nothing)
{
    const played with = play(options_of(true), 9ms);
    BOOST_TEST(with.m_on_time == play(options_of(false), 9ms).m_on_time);
    BOOST_TEST(with.m_late == 0);
}

BOOST_AUTO_TEST_CASE(a_request_that_is_late_already_waits_briefly)
{
    slot_queue queue(options_of(true), 1);
    request_facts facts{.m_id = 1, .m_deadline = start_time + 800ms};
    BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::start));
    facts.m_id = 2;
    facts.m_objective = start_time - 100ms;
    BOOST_TEST((queue.offer(facts, start_time).m_verdict == verdict::queued));
    BOOST_TEST((queue.expire(start_time + 51ms) == std::vector<std::uint64_t>{2}));
}

BOOST_AUTO_TEST_CASE(what_can_be_on_time_goes_before_what_is_late)
{
    slot_queue queue(options_of(true), 1);
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

BOOST_AUTO_TEST_CASE(depth_may_go_before_urgency)
{
    for (const bool deep_first : {true, false}) {
        admission_options options = options_of(true);
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
