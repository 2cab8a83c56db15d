// Model checks of the entry and owner state machines: every order of events with a
// bounded number of faults satisfies the invariants, and removing any single mechanism
// breaks one.
#include "testing/request_model.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::outcome {
namespace {

using testing::check_model;
using testing::mechanism;
using testing::model_options;
using testing::model_report;

std::string join(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines) {
        text += "\n  " + line;
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(every_event_order_satisfies_the_invariants)
{
    const model_options cases[] = {
        {.m_sends = 1, .m_max_faults = 3},
        {.m_sends = 2, .m_max_faults = 1},
        {.m_idempotent = true, .m_sends = 1, .m_max_faults = 2},
        {.m_has_ticket = true, .m_sends = 2, .m_max_faults = 3},
    };
    for (const model_options& options : cases) {
        const model_report report = check_model(options);
        BOOST_TEST_MESSAGE("ticket " << options.m_has_ticket << ", idempotent "
                                     << options.m_idempotent << ", sends " << options.m_sends
                                     << ", faults " << options.m_max_faults << ": "
                                     << report.m_states << " states");
        BOOST_TEST(report.m_violation == "", report.m_violation << join(report.m_trace));
        BOOST_TEST(report.m_complete > 0U);
        BOOST_TEST(report.m_not_run > 0U);
        BOOST_TEST(report.m_unknown > 0U);
    }
}

BOOST_AUTO_TEST_CASE(removing_any_mechanism_breaks_an_invariant)
{
    struct needed_case {
        mechanism m_without;
        bool m_has_ticket;
        std::size_t m_sends;
        std::size_t m_max_faults;
        const char* m_violation;
    };
    const needed_case cases[] = {
        {mechanism::recheck_at_hand_over, false, 1, 2, "new work for a leaving target"},
        {mechanism::loss_is_unknown, false, 1, 2, "told not run, but ran"},
        {mechanism::no_byte_no_doubt, false, 1, 2, "told not run, but ran"},
        {mechanism::note_before_write, false, 1, 2, "told not run, but ran"},
        {mechanism::idempotent_only, false, 1, 2, "ran twice"},
        {mechanism::discard_for_good, false, 1, 2, "told not run, but ran"},
        {mechanism::one_answer, false, 1, 2, "answered twice"},
        {mechanism::cut_when_begun, false, 1, 2, "answered twice"},
        {mechanism::close_abandoned, false, 2, 2, "a foreign answer"},
        {mechanism::ticket_ledger, true, 2, 0, "ran twice"},
        {mechanism::ticket_incarnation, true, 2, 1, "ran twice"},
        {mechanism::ticket_owner, true, 2, 0, "ran twice"},
        {mechanism::ticket_burnt, true, 2, 1, "told not run, but ran"},
        {mechanism::ticket_entry_silent, true, 2, 1, "told not run, but ran"},
    };
    for (const needed_case& c : cases) {
        BOOST_TEST_CONTEXT(to_string(c.m_without))
        {
            const model_report report = check_model({.m_has_ticket = c.m_has_ticket,
                                                     .m_sends = c.m_sends,
                                                     .m_max_faults = c.m_max_faults,
                                                     .m_without = c.m_without,
                                                     .m_only = c.m_violation});
            BOOST_TEST_MESSAGE(to_string(c.m_without)
                               << ": " << report.m_violation << join(report.m_trace));
            BOOST_TEST(report.m_violation == c.m_violation);
        }
    }
}

} // namespace pomelohead::outcome
