// A small model of a caller, two entries, two owners and their targets, built on
// the real entry and owner machines and the real ticket ledger.
//
// The model holds the state around the machines: connections, bytes on the wire,
// slots and the memory of both processes. From a state it enumerates every event
// that may come next: delivery, delay (by not choosing it), loss, crash, restart,
// deadline, late wake-up, drain, version change, resend. check_model() visits every
// state reachable with a bounded number of faults and checks the invariants in each.
//
//     const model_report report = check_model({.m_has_ticket = true, .m_max_faults = 2});
//     BOOST_TEST(report.m_violation == "");
//
// A mechanism can be disabled to show that the check detects its absence. A freeze
// needs no event of its own: the events of a frozen process are all chosen late.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::testing {

/// A protection that a run of the checker may disable.
enum class mechanism {
    none,                 ///< nothing is disabled
    recheck_at_hand_over, ///< drain, version and deadline are checked again before the hand-over
    loss_is_unknown,      ///< a target lost after the hand-over is not "not run"
    no_byte_no_doubt,     ///< an owner lost after a byte was written is not a failed connect
    note_before_write,    ///< the write is noted before its first byte, not after
    idempotent_only,      ///< only idempotent requests go elsewhere when in doubt
    discard_for_good,     ///< what was refused as not run leaves the owner's queue
    one_answer,           ///< a request that has ended takes no further events
    cut_when_begun,       ///< a started answer that fails is aborted, not restarted
    close_abandoned,      ///< the connection of an abandoned exchange is not reused
    ticket_ledger,        ///< the owner records the serials that it has started
    ticket_incarnation,   ///< a restarted owner rejects tickets of its earlier incarnation
    ticket_owner,         ///< the ticket, not the entry's configuration, names the owner
    ticket_burnt,         ///< a refused serial is not run later
    ticket_entry_silent,  ///< an entry never returns "not run" for a request with a ticket
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

/// The result of a run of the checker.
struct model_report {
    std::size_t m_states = 0;
    std::size_t m_complete = 0; ///< states in which a caller received this outcome
    std::size_t m_not_run = 0;
    std::size_t m_unknown = 0;
    std::string m_violation;          ///< empty: none
    std::vector<std::string> m_trace; ///< the events that lead to it
};

/// Visits all states or stops at the first violation, whose trace is a shortest one.
[[nodiscard]] model_report check_model(const model_options& options);

} // namespace pomelohead::testing
