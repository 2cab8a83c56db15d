#include "pomelohead/outcome/ticket.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::outcome {
namespace {

using namespace std::chrono_literals;

const conclusion complete_end{outcome::complete, cause::none};
const conclusion target_lost_end{outcome::unknown, cause::target_lost};
const conclusion overloaded_end{outcome::not_run, cause::overloaded};

ticket_ledger make_ledger(ticket_options options = {}, std::uint64_t incarnation = 7)
{
    return {options, "127.0.1.1", incarnation, [] { return std::uint64_t{0xabc}; }};
}

ticket issue(ticket_ledger& ledger, time_point now = {})
{
    reason why;
    const auto issued = ledger.issue("rota 1/é", now, why);
    BOOST_REQUIRE_MESSAGE(issued, why.m_text);
    return *issued;
}

stored_answer_ptr make_answer(std::size_t bytes)
{
    return std::make_shared<stored_answer>(
        stored_answer{.m_status = 200, .m_body = std::string(bytes, 'x')});
}

} // namespace

BOOST_AUTO_TEST_CASE(ticket_text_is_canonical)
{
    const ticket value{"127.0.1.1", 255, 3, 0xabc, "rota 1/é"};
    const std::string text = to_text(value);
    BOOST_TEST(text == "1/127.0.1.1/ff/3/abc/rota%201%2f%c3%a9");
    reason why;
    BOOST_TEST((parse_ticket(text, why) == value));
    const char* const malformed[] = {
        "",
        "1",
        "1/127.0.1.1/ff/3/abc",
        "1/127.0.1.1/ff/3/abc/",
        "1//ff/3/abc/rota",
        "2/127.0.1.1/ff/3/abc/rota",
        "1/127.0.1.1/FF/3/abc/rota",
        "1/127.0.1.1/0ff/3/abc/rota",
        "1/127.0.1.1/ff/-3/abc/rota",
        "1/127.0.1.1/ff/3/10000000000000000/rota",
        "1/127.0.1.1/ff/3/abc/rota ",
        "1/127.0.1.1/ff/3/abc/rota%2",
        "1/127.0.1.1/ff/3/abc/rota%2F",
        "1/127.0.1.1/ff/3/abc/rota%61",
        "1/127.0.1.1/ff/3/abc/rota/x",
    };
    for (const char* bad : malformed) {
        BOOST_TEST(!parse_ticket(bad, why), bad);
    }
    BOOST_TEST(!parse_ticket("1/127.0.1.1/ff/3/abc/" + std::string(600, 'a'), why));
}

BOOST_AUTO_TEST_CASE(serial_runs_once_and_resends_get_its_outcome)
{
    struct remembered_case {
        const char* m_name = "";
        conclusion m_end;
        std::size_t m_answer_bytes = 0;
        ticket_verdict m_verdict = ticket_verdict::refuse;
        conclusion m_resend;
    };
    const remembered_case cases[] = {
        {"complete answer", complete_end, 10, ticket_verdict::replay, complete_end},
        {"answer too large to store",
         complete_end,
         100'000,
         ticket_verdict::refuse,
         {outcome::unknown, cause::already_ran}},
        {"target lost", target_lost_end, 0, ticket_verdict::refuse, target_lost_end},
        {"refused", overloaded_end, 0, ticket_verdict::refuse, overloaded_end},
    };
    for (const remembered_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            ticket_ledger ledger = make_ledger();
            const ticket value = issue(ledger);
            BOOST_TEST((ledger.present(value, "d", {}).m_verdict == ticket_verdict::run));
            BOOST_TEST((ledger.present(value, "d", {}).m_verdict == ticket_verdict::attach));
            ledger.finish(value.m_serial, c.m_end, make_answer(c.m_answer_bytes), {});
            const ticket_decision resend = ledger.present(value, "d", {});
            BOOST_TEST((resend.m_verdict == c.m_verdict));
            BOOST_TEST((resend.m_end == c.m_resend));
            // Another finish(), for example for a late event, has no effect.
            ledger.finish(value.m_serial, overloaded_end, nullptr, {});
            BOOST_TEST((ledger.present(value, "d", {}) == resend));
        }
    }
}

BOOST_AUTO_TEST_CASE(mismatched_tickets_are_never_run)
{
    struct doubt_case {
        const char* m_name;
        std::function<void(ticket&)> m_change;
        const char* m_digest;
        cause m_cause;
    };
    const doubt_case cases[] = {
        {"another incarnation", [](ticket& t) { ++t.m_incarnation; }, "d", cause::owner_replaced},
        {"another address", [](ticket& t) { t.m_address = "127.0.1.2"; }, "d",
         cause::owner_replaced},
        {"wrong check value", [](ticket& t) { ++t.m_nonce; }, "d", cause::foreign_ticket},
        {"other target", [](ticket& t) { t.m_target = "x"; }, "d", cause::foreign_ticket},
        {"serial not issued yet", [](ticket& t) { ++t.m_serial; }, "d", cause::foreign_ticket},
        {"serial 0", [](ticket& t) { t.m_serial = 0; }, "d", cause::foreign_ticket},
        {"different content", [](ticket&) {}, "e", cause::ticket_reused},
    };
    for (const doubt_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            ticket_ledger ledger = make_ledger();
            ticket value = issue(ledger);
            (void)ledger.present(value, "d", {});
            c.m_change(value);
            const ticket_decision decision = ledger.present(value, c.m_digest, {});
            BOOST_TEST((decision.m_verdict == ticket_verdict::refuse));
            BOOST_TEST((decision.m_end == conclusion{outcome::unknown, c.m_cause}));
        }
    }
}

BOOST_AUTO_TEST_CASE(expiry_drops_answers_but_keeps_started_flags)
{
    const ticket_options options{
        .m_lifetime = 60s, .m_answer_lifetime = 60s, .m_max_started_flags = 2};
    ticket_ledger ledger = make_ledger(options);
    const time_point start{};
    const ticket old = issue(ledger, start);
    const ticket ran = issue(ledger, start);
    const ticket unused = issue(ledger, start);
    (void)ledger.present(ran, "d", start);
    ledger.finish(ran.m_serial, complete_end, make_answer(10), start + 30s);
    BOOST_TEST(ledger.stored_bytes() == 10U);
    // After the ticket's lifetime, but within the answer's.
    BOOST_TEST((ledger.present(ran, "d", start + 80s).m_verdict == ticket_verdict::replay));
    BOOST_TEST((ledger.present(unused, "d", start + 80s).m_end ==
                conclusion{outcome::not_run, cause::ticket_expired}));
    BOOST_TEST((ledger.present(old, "d", start + 80s).m_end ==
                conclusion{outcome::unknown, cause::ticket_expired}));
    BOOST_TEST((ledger.present(ran, "d", start + 100s).m_end ==
                conclusion{outcome::unknown, cause::ticket_expired}));
    BOOST_TEST(ledger.open_tickets() == 0U);
    BOOST_TEST(ledger.stored_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    ticket_ledger ledger = make_ledger({.m_max_open = 3, .m_max_stored_bytes = 15});
    std::vector<ticket> tickets;
    for (int i = 0; i < 3; ++i) {
        tickets.push_back(issue(ledger));
        (void)ledger.present(tickets.back(), "d", {});
        ledger.finish(tickets.back().m_serial, complete_end, make_answer(10), {});
    }
    reason why;
    BOOST_TEST(!ledger.issue("rota-1", {}, why));
    BOOST_TEST((why.m_code == reason_code::rate_limited));
    BOOST_TEST(ledger.stored_bytes() == 10U);
    BOOST_TEST((ledger.present(tickets[2], "d", {}).m_end ==
                conclusion{outcome::unknown, cause::already_ran}));
}

} // namespace pomelohead::outcome
