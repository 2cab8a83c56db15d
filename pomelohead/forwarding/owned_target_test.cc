// A target whose requests call it again from their callbacks.
#include "pomelohead/forwarding/owned_target.h"
#include "pomelohead/runtime/fiber.h"
#include "testing/fiber_program.h"
#include "testing/manual_timer_service.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::forwarding {
namespace {

using namespace std::chrono_literals;
using admission::request_end;

config::target make_target(std::uint32_t slots)
{
    config::target target;
    target.m_name = "i-1";
    target.m_host = "127.91.0.1";
    target.m_slots = slots;
    return target;
}

// Requests that give their slot back as soon as they get it, as in a stop.
struct refused_requests {
    refused_requests(boost::asio::io_context& io, std::uint32_t slots, std::uint32_t queued)
        : m_target(io, m_timers, make_target(slots),
                   {.m_short_reserve = false,
                    .m_fair_share = false,
                    .m_deadline_admission = false,
                    .m_bounded_wait = false,
                    .m_slow_start = false,
                    .m_queue_per_slot = queued / slots})
    {
        for (std::uint32_t i = 0; i < slots + queued; ++i) {
            offer(m_target.allocate_id(), i * 1us);
        }
    }

    void offer(std::uint64_t id, duration deadline)
    {
        admission::request_facts facts;
        facts.m_id = id;
        facts.m_deadline = m_timers.now() + 1h + deadline;
        const auto decision = m_target.offer(facts, false,
                                             {.m_granted =
                                                  [this, id] {
                                                      ++m_granted;
                                                      m_target.release(id, request_end::aborted);
                                                  },
                                              .m_refused =
                                                  [this, id](milliseconds) {
                                                      ++m_refused;
                                                      m_timers.advance(1us);
                                                      m_target.withdraw(id);
                                                  }});
        BOOST_REQUIRE((decision.m_verdict != admission::verdict::refused));
    }

    testing::manual_timer_service m_timers;
    owned_target m_target;
    std::uint32_t m_granted = 0;
    std::uint32_t m_refused = 0;
};

} // namespace

// Guards against a stack overflow in a stop with a long queue, where each request called the next.
BOOST_AUTO_TEST_CASE(long_queue_that_is_refused_request_by_request_fits_a_fibers_stack)
{
    static constexpr std::uint32_t slots = 1'000;
    constexpr std::uint32_t queued = 10'000;
    struct chain {
        const char* m_start;
        std::function<void(refused_requests&)> m_run;
        std::uint32_t m_running;
        std::uint32_t m_granted;
        std::uint32_t m_refused;
    };
    const chain chains[] = {
        {"a request ends",
         [](refused_requests& r) { r.m_target.release(1, request_end::complete); }, slots - 1,
         queued, 0},
        {"the target gets a slot",
         [](refused_requests& r) { r.m_target.update(make_target(slots + 1), {}); }, slots, queued,
         0},
        {"a deadline passes",
         [](refused_requests& r) { r.m_timers.advance(1h + (slots + 1) * 1us); }, slots, 0, queued},
    };
    for (const chain& c : chains) {
        BOOST_TEST_CONTEXT(c.m_start)
        testing::run_in_fiber([&](boost::asio::io_context& io) {
            refused_requests requests(io, slots, queued);
            fiber_group fibers;
            fibers.spawn([&] { c.m_run(requests); });
            fibers.wait();
            BOOST_TEST(requests.m_granted == c.m_granted);
            BOOST_TEST(requests.m_refused == c.m_refused);
            BOOST_TEST(requests.m_target.queue().running() == c.m_running);
            BOOST_TEST(requests.m_target.queue().queued() == 0U);
        });
    }
}

// Guards against a slot that is lost for good: its request ends between the grant and the callback.
BOOST_AUTO_TEST_CASE(request_withdrawn_before_it_hears_of_its_grant_leaves_its_slot)
{
    testing::run_in_fiber([](boost::asio::io_context& io) {
        testing::manual_timer_service timers;
        owned_target target(io, timers, make_target(1),
                            {.m_deadline_admission = false, .m_slow_start = false});
        std::vector<std::uint64_t> granted;
        const auto offer = [&](std::uint64_t id) {
            admission::request_facts facts;
            facts.m_id = id;
            facts.m_deadline = timers.now() + 1h;
            const slot_callbacks callbacks{.m_granted =
                                               [&granted, &target, id] {
                                                   granted.push_back(id);
                                                   target.withdraw(3);
                                               },
                                           .m_refused = [](milliseconds) {}};
            return target.offer(facts, false, callbacks).m_verdict;
        };
        BOOST_TEST((offer(1) == admission::verdict::start));
        BOOST_TEST((offer(2) == admission::verdict::queued));
        BOOST_TEST((offer(3) == admission::verdict::queued));
        target.update(make_target(3), {});
        BOOST_TEST(granted == std::vector<std::uint64_t>{2}, boost::test_tools::per_element());
        BOOST_TEST(target.queue().running() == 2U);
    });
}

} // namespace pomelohead::forwarding
