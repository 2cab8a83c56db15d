// A small model of a caller, two entries, two owners and their targets, built on
// the real entry and owner machines and the real ticket ledger.
//
// The model holds what the machines' shells would hold: connections, bytes on
// the wire, slots, the two processes' memories. From a state it lists every
// event that may come next: delivery, delay (by not choosing it), loss, crash,
// restart, deadline, late wake, drain, version swap, resend. check_model()
// visits every state that can be reached with a bounded number of faults and
// asserts the promises in each of them.
//
//     const model_report report = check_model({.m_has_ticket = true, .m_max_faults = 2});
//     BOOST_TEST(report.m_violation == "");
//
// A mechanism can be switched off, to show that the check depends on it. A
// freeze needs no event of its own: a frozen process is one whose events are
// all chosen late.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::testing {

/// What a run of the checker may leave out.
enum class mechanism {
    none,                 ///< everything is in place
    recheck_at_hand_over, ///< judging drain, version and deadline again at the last moment
    loss_is_unknown,      ///< a target lost after the hand-over is not "not run"
    no_byte_no_doubt,     ///< an owner lost after a byte was written is not a failed connect
    note_before_write,    ///< the write is noted before its first byte, not after
    idempotent_only,      ///< only idempotent requests go elsewhere when in doubt
    discard_for_good,     ///< what was refused as not run leaves the owner's queue
    one_answer,           ///< a request that has ended takes no further events
    cut_when_begun,       ///< a broken answer is cut, not begun again
    close_abandoned,      ///< the connection of an abandoned exchange is not used again
    ticket_ledger,        ///< the owner remembers the serials that it has started
    ticket_incarnation,   ///< a restarted owner refuses its predecessor's tickets
    ticket_owner,         ///< the ticket, not the entry's configuration, names the owner
    ticket_burnt,         ///< a refused serial is not run later
    ticket_entry_silent,  ///< an entry does not say "not run" of a request with a ticket
};

[[nodiscard]] std::string_view to_string(mechanism value);

struct model_options {
    bool m_idempotent = false;
    bool m_has_ticket = false; ///< all sends carry one ticket; else each is its own request
    std::size_t m_sends = 2;
    std::size_t m_max_faults = 2;
    mechanism m_without = mechanism::none;
    std::string m_only; ///< the one violation to look for; empty: any
};

/// What a run of the checker has seen.
struct model_report {
    std::size_t m_states = 0;
    std::size_t m_complete = 0; ///< states in which a caller has been told so
    std::size_t m_not_run = 0;
    std::size_t m_unknown = 0;
    std::string m_violation;          ///< empty: none
    std::vector<std::string> m_trace; ///< the events that lead to it
};

/// Visits all states, or stops at the first violation, which has the shortest trace.
[[nodiscard]] model_report check_model(const model_options& options);

} // namespace pomelohead::testing
