#include "pomelohead/admission/slot_queue.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::admission {
namespace {

using namespace std::chrono_literals;
using config::urgency;
using config::work_class;
using ids = std::vector<std::uint64_t>;

const time_point start_time{1h};

admission_options without_slow_start()
{
    admission_options options;
    options.m_slow_start = false;
    return options;
}

request_facts facts(std::uint64_t id, work_class work = work_class::short_work)
{
    request_facts result;
    result.m_id = id;
    result.m_account = "gwynedd";
    result.m_class = work;
    result.m_deadline = start_time + 250ms;
    return result;
}

// Fills the slots with ids from 101.
slot_queue full_queue(const admission_options& options, std::uint32_t slots)
{
    slot_queue queue(options, slots);
    for (std::uint64_t i = 1; i <= slots; ++i) {
        BOOST_REQUIRE((queue.offer(facts(100 + i), start_time).m_verdict == verdict::start));
    }
    return queue;
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_start_while_slots_are_free_then_queue)
{
    slot_queue queue = full_queue(without_slow_start(), 2);
    BOOST_TEST((queue.offer(facts(1), start_time).m_verdict == verdict::queued));
    BOOST_TEST((queue.word() == load_word{.m_free = 0, .m_queued = 1}));
    BOOST_TEST((queue.finish(101, start_time + 5ms) == ids{1}));
    BOOST_TEST(queue.finish(101, start_time + 5ms).empty());
}

BOOST_AUTO_TEST_CASE(queued_work_leaves_in_order)
{
    struct order_case {
        const char* m_name;
        void (*m_prefer_second)(request_facts&);
    };
    const order_case cases[] = {
        {"urgency", [](request_facts& f) { f.m_urgency = urgency::urgent; }},
        {"depth", [](request_facts& f) { f.m_depth = 3; }},
        {"account with less recent use", [](request_facts& f) { f.m_account = "quebec"; }},
    };
    for (const order_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            slot_queue queue = full_queue(without_slow_start(), 1);
            request_facts preferred = facts(2);
            c.m_prefer_second(preferred);
            BOOST_TEST((queue.offer(facts(1), start_time).m_verdict == verdict::queued));
            BOOST_TEST((queue.offer(preferred, start_time).m_verdict == verdict::queued));
            BOOST_TEST((queue.finish(101, start_time + 1ms) == ids{2}));
        }
    }
}

} // namespace pomelohead::admission
