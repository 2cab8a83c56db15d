// What an owner does for one request: a pure function of state and event.
//
// The owner is the node beside the target and the only one that hands requests
// to it. Handing over is the point of no return:
//
//     arrived -> queued -> connecting -> | handed_over -> answering -> finished
//                                        |
//          "not run" may be said here    |   only the target's own refusal is
//          and discards the request      |   "not run"; loss is "unknown"
//
// Because a queue, a connection attempt or a freeze may have taken long, the
// facts are judged again at the last moment, with the event ready_to_write:
//
//     owner_step next = step(state, {.m_kind = owner_event_kind::ready_to_write,
//                                    .m_facts = {.m_draining = true}});
//     // next.m_actions: close_target, release_slot, answer {not_run, draining}
//
// A finished record ignores all further events. A request with a ticket goes on
// when its caller leaves: the caller's resend finds the outcome in the ledger.
#pragma once

#include "pomelohead/outcome/outcome.h"

#include <optional>
#include <vector>

namespace pomelohead::outcome {

enum class owner_phase {
    arrived,     ///< its head is here; the body may still be coming, no slot is held
    queued,      ///< waits for a slot
    connecting,  ///< holds a slot, no byte has been written to the target
    handed_over, ///< a byte may have reached the target
    answering,   ///< a byte of the answer may have reached the entry
    finished,
};

/// What is judged before a request moves on. Read them fresh for each event.
struct handover_facts {
    bool m_deadline_passed = false;
    bool m_draining = false;    ///< any source of word says that the target is leaving
    bool m_owns_target = true;  ///< the configuration in force still has the target here
    bool m_quarantined = false; ///< the request's kind is refused by now
    bool m_entry_present = true;

    bool operator==(const handover_facts&) const = default;
};

/// The owner's record of one request.
struct owner_state {
    owner_phase m_phase = owner_phase::arrived;
    bool m_has_ticket = false;
    bool m_entry_gone = false;
    conclusion m_end{}; ///< once finished

    bool operator==(const owner_state&) const = default;
};

enum class owner_event_kind {
    refused,        ///< the owner declines it before a slot, for m_cause
    queued,         ///< admission queued it
    slot_granted,   ///< admission started it; with m_facts
    ready_to_write, ///< connected; the next call may write the first byte; with m_facts
    facts_changed,  ///< drain, version swap, quarantine or a thaw after a freeze; with m_facts
    connect_failed, ///< no connection to the target was made
    target_refused, ///< the target declined it unrun, for m_cause if there is one
    target_lost,    ///< m_cause: target_lost, target_crashed, short_answer or foreign_answer
    answer_begins,  ///< the next call may write an answer's first byte to the entry
    answer_whole,   ///< the target's answer is whole and its own
    deadline,       ///< the deadline has passed
    entry_left,     ///< the entry's connection ended
};

struct owner_event {
    owner_event_kind m_kind = owner_event_kind::deadline;
    cause m_cause = cause::none; ///< for refused, target_refused and target_lost
    handover_facts m_facts{};

    bool operator==(const owner_event&) const = default;
};

enum class owner_action_kind {
    connect_target, ///< take a connection to the target, then feed ready_to_write
    write_request,  ///< hand the request over
    close_target,   ///< close the target's connection, which cancels the exchange
    release_slot,   ///< tell admission that the slot is free
    withdraw,       ///< take the request out of admission's queue
    report_crash,   ///< tell quarantine of every request in flight on the target
    answer,         ///< tell the entry m_end (nothing is sent if it has left)
    cut_entry,      ///< close the entry's connection: its answer cannot be made whole
    record,         ///< tell the ticket ledger m_end
};

struct owner_action {
    owner_action_kind m_kind = owner_action_kind::answer;
    conclusion m_end{}; ///< for answer and record

    bool operator==(const owner_action&) const = default;
};

struct owner_step {
    owner_state m_state;
    std::vector<owner_action> m_actions;

    bool operator==(const owner_step&) const = default;
};

/// Why a request with these facts may not go on; nothing if it may.
[[nodiscard]] std::optional<cause> refusal(const handover_facts& facts);

/// The state after `event` and what the shell does about it, in order.
[[nodiscard]] owner_step step(const owner_state& state, const owner_event& event);

} // namespace pomelohead::outcome
