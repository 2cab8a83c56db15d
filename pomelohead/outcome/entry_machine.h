// The entry's state machine for one request: a pure function of state and event.
//
// The entry is the node that receives the caller's request. It makes attempts at
// owners: usually one, or two where an idempotent read is hedged. For each attempt its
// state records whether a byte of the request may have reached an owner, which alone
// determines the outcome that it may report:
//
//     every attempt refused, not connected or declined unrun   -> not_run
//     any attempt written and not answered "not run"           -> unknown
//     one whole answer                                          -> complete
//
// The calling code owns the sockets and the budgets and chooses the owners. It passes
// each event to step() and performs the returned actions in order; if an action cannot
// be performed, it passes that as the next event:
//
//     entry_state state = make_entry_state({.m_idempotent = route.m_idempotent});
//     // -> choose_owner; the selector has none:
//     entry_step next = step(state, {.m_kind = entry_event_kind::no_owner});
//     // next.m_actions: {answer, {not_run, no_owner}}
//
// Attempts are numbered from 0 in the order of their owner_chosen events. Events for an
// attempt that has ended are ignored, so late and duplicate events have no effect.
#pragma once

#include "pomelohead/outcome/outcome.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace pomelohead::outcome {

/// Properties of a request that are fixed before its first attempt.
struct entry_facts {
    bool m_idempotent = false;      ///< running it twice has the same effect as once
    bool m_has_ticket = false;      ///< only the ticket's owner may run it or refuse it as not run
    std::size_t m_max_attempts = 3; ///< maximum number of attempts, hedges included; at least 1
    /// Maximum number of targets that may run it. Attempts that are known not to have run
    /// do not count. 0: limited by m_attempts only.
    std::size_t m_max_targets = 0;

    bool operator==(const entry_facts&) const = default;
};

/// The state of one attempt.
enum class attempt_phase {
    connecting, ///< no byte of the request has been written
    written,    ///< a byte may have reached the owner
    answering,  ///< its answer is being forwarded to the caller
    not_sent,   ///< ended before a byte was written
    not_run,    ///< ended: the owner will never run it
    unknown,    ///< ended: it may have run
};

/// The entry's state for one request.
struct entry_state {
    entry_facts m_facts;
    std::vector<attempt_phase> m_attempts;
    bool m_body_replayable = true; ///< the whole body is still buffered for a resend
    bool m_answer_started = false; ///< a byte of an answer may have been sent to the caller
    bool m_finished = false;
    std::size_t m_crashes = 0;                 ///< attempts whose target crashed
    std::optional<std::size_t> m_hedge;        ///< started while another attempt was in progress
    std::size_t m_last_ended = 0;              ///< the latest attempt that failed
    cause m_last_cause = cause::none;          ///< of m_last_ended
    cause m_first_unknown_cause = cause::none; ///< of the first attempt that ended as unknown

    bool operator==(const entry_state&) const = default;
};

enum class entry_event_kind {
    refused,              ///< the entry itself refuses the request, for m_cause
    owner_chosen,         ///< a new attempt starts to connect
    no_owner,             ///< no owner is available for the requested attempt
    retry_refused,        ///< the retry budget does not allow the attempt
    connect_failed,       ///< the attempt's connection could not be established
    before_request_write, ///< passed before the write call that may send the request's first byte
    body_not_replayable,  ///< a byte of the body was forwarded and is no longer buffered
    owner_not_run,        ///< the owner answered not-run for m_cause
    owner_unknown,        ///< the owner answered unknown for m_cause
    owner_complete,       ///< the head of a complete answer arrived, or the whole of a small one
    before_answer_write,  ///< passed before the write call that may send an answer's first byte to
                          ///< the caller
    answer_sent,          ///< the whole answer has been sent to the caller
    connection_lost,     ///< the owner's connection ended, or its answer is truncated or mismatched
    deadline,            ///< the request's deadline has passed
    caller_disconnected, ///< the caller closed its connection
};

struct entry_event {
    entry_event_kind m_kind = entry_event_kind::deadline;
    std::size_t m_attempt = 0;   ///< for events of an attempt
    cause m_cause = cause::none; ///< for refused, owner_not_run, owner_unknown, connection_lost

    bool operator==(const entry_event&) const = default;
};

enum class entry_action_kind {
    choose_owner,   ///< choose an untried owner (with a ticket: its owner) and connect
    forward_answer, ///< forward the attempt's answer to the caller
    abandon,        ///< close the attempt's connection, which is not reused
    answer,         ///< send m_end to the caller
    close_caller,   ///< close the caller's connection: its answer cannot be completed
};

struct entry_action {
    entry_action_kind m_kind = entry_action_kind::answer;
    std::size_t m_attempt = 0; ///< for forward_answer and abandon
    conclusion m_end{};        ///< for answer

    bool operator==(const entry_action&) const = default;
};

struct entry_step {
    entry_state m_state;
    std::vector<entry_action> m_actions;

    bool operator==(const entry_step&) const = default;
};

/// The state of a request that has just arrived. The calling code starts with
/// choose_owner, unless it passes a `refused` event.
[[nodiscard]] entry_state make_entry_state(const entry_facts& facts);

/// Returns the state after `event` and the actions to perform, in order.
[[nodiscard]] entry_step step(const entry_state& state, const entry_event& event);

/// Whether a hedge, one more attempt concurrent with the one in progress, may be started from
/// the retry budget: the request is idempotent and can be resent, has no ticket and none so far,
/// need not run alone, no answer is being forwarded, and attempts and targets are left.
[[nodiscard]] bool can_hedge(const entry_state& state);

/// Whether the next attempt must run alone on its target, because a target crashed with
/// the request in flight. The entry passes this to the next owner with the request, since
/// gossip may arrive later.
[[nodiscard]] bool must_run_alone(const entry_state& state);

/// The outcome to report if the entry stops processing the request now because of `why`.
[[nodiscard]] conclusion conclude(const entry_state& state, cause why);

/// The remaining time that the entry sends to an owner. It is slightly less than the
/// entry's own, so that the owner's "not run" arrives before the entry's deadline passes
/// and it must report "unknown".
[[nodiscard]] std::chrono::milliseconds forwarded_time_left(std::chrono::milliseconds left);

} // namespace pomelohead::outcome
