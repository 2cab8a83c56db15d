// The owner's state machine for one request: a pure function of state and event.
//
// The owner is the node beside the target and the only node that hands requests over to
// it. After the handover the owner can no longer report "not run" on its own:
//
//     arrived -> queued -> connecting -> | handed_over -> answering -> finished
//                                        |
//          "not run" may be reported     |   only a refusal by the target is
//          and discards the request      |   "not run"; a loss is "unknown"
//
// Queueing, connecting or a freeze of the process may take long, so the facts are checked
// again immediately before the handover, with the event ready_to_write:
//
//     owner_step next = step(state, {.m_kind = owner_event_kind::ready_to_write,
//                                    .m_facts = {.m_draining = true}});
//     // next.m_actions: close_target, release_slot, answer {not_run, draining}
//
// A finished request ignores all further events. A request with a ticket continues when
// its caller disconnects: the caller's resend gets the outcome from the ledger.
#pragma once

#include "pomelohead/outcome/outcome.h"

#include <optional>
#include <vector>

namespace pomelohead::outcome {

enum class owner_phase {
    arrived,     ///< its head was received, its body perhaps not yet; it holds no slot
    queued,      ///< waits for a free slot
    connecting,  ///< holds a slot, no byte has been written to the target
    handed_over, ///< a byte may have reached the target
    answering,   ///< a byte of the answer may have reached the entry
    finished,
};

/// The conditions that are checked before a request proceeds. The caller evaluates them
/// anew for each event.
struct handover_conditions {
    bool m_deadline_passed = false;
    bool m_draining = false;    ///< any source reports that the target is draining
    bool m_owns_target = true;  ///< the active configuration still assigns the target to this owner
    bool m_quarantined = false; ///< the quarantine refuses the request's fingerprint
    bool m_entry_connected = true;

    bool operator==(const handover_conditions&) const = default;
};

/// The owner's state for one request.
struct owner_state {
    owner_phase m_phase = owner_phase::arrived;
    bool m_has_ticket = false;
    bool m_entry_disconnected = false;
    conclusion m_end{}; ///< set once finished

    bool operator==(const owner_state&) const = default;
};

enum class owner_event_kind {
    refused,        ///< the owner refuses it before it gets a slot, for m_cause
    queued,         ///< admission has queued it
    slot_granted,   ///< admission has granted a slot; with m_facts
    ready_to_write, ///< connected, passed before the write call for the first byte; with m_facts
    facts_changed,  ///< a drain, version change, quarantine or the end of a freeze; with m_facts
    connect_failed, ///< connecting to the target failed
    target_refused, ///< the target refused it without running it, for m_cause if set
    target_lost,    ///< m_cause: target_lost, target_crashed, truncated_answer or mismatched_answer
    before_answer_write, ///< passed before the write call that may send an answer's first byte to
                         ///< the entry
    answer_complete,     ///< the whole answer arrived and belongs to this request
    deadline,            ///< the request's deadline has passed
    entry_disconnected,  ///< the entry closed its connection
};

struct owner_event {
    owner_event_kind m_kind = owner_event_kind::deadline;
    cause m_cause = cause::none; ///< for refused, target_refused and target_lost
    handover_conditions m_facts{};

    bool operator==(const owner_event&) const = default;
};

enum class owner_action_kind {
    connect_target, ///< get a connection to the target, then pass ready_to_write
    write_request,  ///< write the request to the target
    close_target,   ///< close the connection to the target, which cancels the exchange
    release_slot,   ///< return the slot to admission
    withdraw,       ///< remove the request from admission's queue
    report_crash,   ///< report every request in flight on the target to the quarantine
    answer,         ///< send m_end to the entry, unless it has disconnected
    close_entry,    ///< close the entry's connection: its answer cannot be completed
    record,         ///< record m_end in the ticket ledger
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

/// Whether the target has been sent no byte of the request.
[[nodiscard]] bool is_before_handover(owner_phase phase);

/// The cause for which a request with these facts is refused; nullopt if it may proceed.
[[nodiscard]] std::optional<cause> refusal_cause(const handover_conditions& facts);

/// Returns the state after `event` and the actions to perform, in order.
[[nodiscard]] owner_step step(const owner_state& state, const owner_event& event);

} // namespace pomelohead::outcome
