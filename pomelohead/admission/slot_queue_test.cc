#include "pomelohead/admission/slot_queue.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::admission {
namespace {

using namespace std::chrono_literals;
using config::urgency;
using config::work_class;
using ids = std::vector<std::uint64_t>;

const time_point start_time{1h};

admission_options options_without_slow_start()
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

// Returns a queue whose slots are all used, by requests with ids from 101.
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
    slot_queue queue = full_queue(options_without_slow_start(), 2);
    BOOST_TEST((queue.offer(facts(1), start_time).m_verdict == verdict::queued));
    BOOST_TEST((queue.current_load() == load_report{.m_free = 0, .m_queued = 1}));
    BOOST_TEST((queue.finish(101, start_time + 5ms) == ids{1}));
    BOOST_TEST(queue.finish(101, start_time + 5ms).empty());
}

BOOST_AUTO_TEST_CASE(queued_requests_start_in_priority_order)
{
    struct order_case {
        const char* m_name;
        void (*m_make_preferred)(request_facts&);
        void (*m_switch_off)(admission_options&);
    };
    const order_case cases[] = {
        {"urgency", [](request_facts& f) { f.m_urgency = urgency::urgent; },
         [](admission_options& o) { o.m_urgency_order = false; }},
        {"depth", [](request_facts& f) { f.m_depth = 3; },
         [](admission_options& o) { o.m_depth_order = false; }},
        {"account with less recent use", [](request_facts& f) { f.m_account = "quebec"; },
         [](admission_options& o) { o.m_fair_share = false; }},
    };
    for (const order_case& c : cases) {
        for (const bool is_on : {true, false}) {
            BOOST_TEST_CONTEXT(c.m_name << (is_on ? "" : ", switched off"))
            {
                admission_options options = options_without_slow_start();
                if (!is_on) {
                    c.m_switch_off(options);
                }
                slot_queue queue = full_queue(options, 1);
                request_facts preferred = facts(2);
                c.m_make_preferred(preferred);
                BOOST_TEST((queue.offer(facts(1), start_time).m_verdict == verdict::queued));
                BOOST_TEST((queue.offer(preferred, start_time).m_verdict == verdict::queued));
                BOOST_TEST((queue.finish(101, start_time + 1ms) == ids{is_on ? 2U : 1U}));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(unservable_requests_are_refused_immediately_with_a_reason)
{
    struct refusal_case {
        const char* m_name;
        void (*m_change)(request_facts&);
        reason_code m_code;
    };
    const refusal_case cases[] = {
        {"deadline passed", [](request_facts& f) { f.m_deadline = start_time; },
         reason_code::timed_out},
        {"less time left than the expected run time",
         [](request_facts& f) {
             f.m_expected = 30ms;
             f.m_deadline = start_time + 20ms;
         },
         reason_code::timed_out},
        {"id already running", [](request_facts& f) { f.m_id = 101; }, reason_code::conflict},
        {"shed by a rule", [](request_facts& f) { f.m_urgency = urgency::deferrable; },
         reason_code::refused},
    };
    for (const refusal_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            slot_queue queue = full_queue(options_without_slow_start(), 2);
            queue.set_rules(
                {{.m_account = "*", .m_from_urgency = urgency::deferrable, .m_load_percent = 100}});
            request_facts offered = facts(1);
            c.m_change(offered);
            const decision d = queue.offer(offered, start_time);
            BOOST_TEST((d.m_verdict == verdict::refused));
            BOOST_TEST((d.m_why.m_code == c.m_code));
            BOOST_TEST(!d.m_why.m_text.empty());
            BOOST_TEST((d.m_retry_after >= 100ms));
            BOOST_TEST(queue.queued() == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(queued_short_work_is_refused_after_max_wait)
{
    const admission_options options = options_without_slow_start();
    slot_queue queue = full_queue(options, 1);
    BOOST_TEST((queue.offer(facts(1), start_time).m_verdict == verdict::queued));
    BOOST_REQUIRE(queue.next_deadline().has_value());
    const time_point late = *queue.next_deadline();
    BOOST_TEST((late > start_time + options.m_max_wait));
    BOOST_TEST(queue.expire(start_time + options.m_max_wait).empty());
    // A slot that becomes free after the queue deadline is not granted.
    BOOST_TEST(queue.finish(101, late).empty());
    BOOST_TEST((queue.expire(late) == ids{1}));
    BOOST_TEST(queue.expire(late).empty());
    BOOST_TEST(!queue.next_deadline().has_value());
}

BOOST_AUTO_TEST_CASE(a_withdrawn_request_never_starts)
{
    slot_queue queue = full_queue(options_without_slow_start(), 1);
    BOOST_TEST((queue.offer(facts(1), start_time).m_verdict == verdict::queued));
    BOOST_TEST(queue.withdraw(1));
    BOOST_TEST(!queue.withdraw(1));
    BOOST_TEST(!queue.withdraw(101));
    BOOST_TEST(queue.finish(101, start_time).empty());
}

BOOST_AUTO_TEST_CASE(full_queue_displaces_its_last_request)
{
    admission_options options = options_without_slow_start();
    options.m_queue_per_slot = 1;
    slot_queue queue = full_queue(options, 1);
    BOOST_TEST((queue.offer(facts(1), start_time).m_verdict == verdict::queued));
    BOOST_TEST((queue.offer(facts(2), start_time).m_verdict == verdict::refused));
    request_facts urgent = facts(3);
    urgent.m_urgency = urgency::urgent;
    BOOST_TEST((queue.offer(urgent, start_time).m_verdict == verdict::queued));
    BOOST_TEST((queue.expire(start_time) == ids{1}));
    BOOST_TEST((queue.finish(101, start_time) == ids{3}));
}

BOOST_AUTO_TEST_CASE(long_work_leaves_the_reserve_to_short_work)
{
    for (const std::uint32_t slots : {2U, 6U, 9U}) {
        slot_queue queue(options_without_slow_start(), slots);
        std::uint32_t started = 0;
        for (std::uint64_t id = 1; id <= slots; ++id) {
            const decision d = queue.offer(facts(id, work_class::long_work), start_time);
            started += d.m_verdict == verdict::start ? 1 : 0;
        }
        BOOST_TEST(started == slots - 1);
        BOOST_TEST((queue.offer(facts(100), start_time).m_verdict == verdict::start));
        full_queue(options_without_slow_start(), slots);
    }
}

BOOST_AUTO_TEST_CASE(slow_start_raises_the_limit_to_all_slots)
{
    admission_options options;
    slot_queue queue(options, 8);
    BOOST_TEST(queue.limit() == 2U);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        const bool starts = queue.offer(facts(id), start_time).m_verdict == verdict::start;
        BOOST_TEST(starts == (id <= 2));
    }
    BOOST_TEST(queue.due_starts(start_time + 1ms).empty());
    request_facts later = facts(5);
    later.m_deadline = start_time + 10s;
    BOOST_TEST(
        (queue.offer(later, start_time + options.m_slow_start_time).m_verdict == verdict::start));
    BOOST_TEST(queue.limit() == 8U);
}

BOOST_AUTO_TEST_CASE(target_refusal_restarts_slow_start)
{
    const admission_options options;
    slot_queue queue(options, 8);
    const time_point later = start_time + options.m_slow_start_time;
    request_facts next = facts(1);
    next.m_deadline = later + 10s;
    BOOST_TEST((queue.offer(facts(101), start_time).m_verdict == verdict::start));
    BOOST_TEST((queue.offer(next, later).m_verdict == verdict::start));
    BOOST_TEST(queue.limit() == 8U);
    BOOST_TEST(queue.finish(1, later, request_end::refused).empty());
    BOOST_TEST(queue.limit() == 1U);
    BOOST_TEST((queue.offer(next, later).m_verdict == verdict::queued));
    BOOST_TEST(queue.current_load().m_free == 0U);
    const time_point end = later + options.m_slow_start_time;
    BOOST_TEST(queue.due_starts(end).empty()); // its queue deadline has passed by then
    BOOST_TEST(queue.limit() == 8U);
}

BOOST_AUTO_TEST_CASE(changed_limit_starts_queued_work_and_cancels_none)
{
    slot_queue queue = full_queue(options_without_slow_start(), 4);
    BOOST_TEST(queue.set_limit(2, start_time).empty());
    BOOST_TEST(queue.running() == 4U);
    BOOST_TEST((queue.offer(facts(1), start_time).m_verdict == verdict::queued));
    BOOST_TEST(queue.finish(101, start_time).empty());
    BOOST_TEST(queue.finish(102, start_time).empty());
    BOOST_TEST((queue.set_limit(3, start_time) == ids{1}));
}

} // namespace pomelohead::admission
