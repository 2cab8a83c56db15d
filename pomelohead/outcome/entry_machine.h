// What an entry does next for one request: a pure function of state and event.
//
// The entry is the node that a caller's request reaches first. It makes attempts
// at owners, usually one, two where an idempotent read is hedged. Its state
// records, for each attempt, whether a byte of the request may have reached an
// owner; that alone decides what it may say:
//
//     every attempt refused, not connected or declined unrun   -> not_run
//     any attempt written and not answered "not run"           -> unknown
//     one whole answer                                          -> complete
//
// The shell around it owns sockets, budgets and the choice of owners. It feeds
// an event and does the actions in order; an action that cannot be done is fed
// back as an event:
//
//     entry_state state = make_entry_state({.m_idempotent = route.m_idempotent});
//     // -> choose_owner; the selector has none:
//     entry_step next = step(state, {.m_kind = entry_event_kind::no_owner});
//     // next.m_actions: {answer, {not_run, no_owner}}
//
// An attempt is numbered from 0 in the order of owner_chosen events. Events of
// an attempt that has ended are ignored, so late and duplicate ones do no harm.
#pragma once

#include "pomelohead/outcome/outcome.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace pomelohead::outcome {

/// What the entry knows of a request before its first attempt.
struct entry_facts {
    bool m_idempotent = false;  ///< running it twice is the same as once
    bool m_has_ticket = false;  ///< only the ticket's owner may run it or refuse it as not run
    std::size_t m_attempts = 3; ///< the most attempts, hedges included; at least 1
    /// The most targets that may run it. Attempts that are known not to have run do not
    /// count. 0: no limit but m_attempts.
    std::size_t m_max_targets = 0;

    bool operator==(const entry_facts&) const = default;
};

/// How far an attempt has come.
enum class attempt_phase {
    connecting, ///< no byte of the request has been written
    written,    ///< a byte may have reached the owner
    answering,  ///< it won: its answer goes to the caller
    not_sent,   ///< ended before a byte was written
    not_run,    ///< ended: the owner will never run it
    unknown,    ///< ended: it may have run
};

/// The entry's record of one request.
struct entry_state {
    entry_facts m_facts;
    std::vector<attempt_phase> m_attempts;
    bool m_body_replayable = true; ///< the request can be sent again from the start
    bool m_answer_begun = false;   ///< a byte of an answer has gone to the caller
    bool m_finished = false;
    std::size_t m_crashes = 0;                 ///< attempts whose target crashed
    cause m_last_cause = cause::none;          ///< of the latest attempt that failed
    cause m_first_unknown_cause = cause::none; ///< of the first attempt that ended unknown

    bool operator==(const entry_state&) const = default;
};

enum class entry_event_kind {
    refused,         ///< the entry declines the request itself, for m_cause
    owner_chosen,    ///< a new attempt begins to connect
    no_owner,        ///< no owner can take the attempt that was asked for
    retry_refused,   ///< the retry budget does not grant it
    connect_failed,  ///< the attempt got no connection
    write_begins,    ///< the next call may write the request's first byte; feed it before
    body_dropped,    ///< a byte of the caller's body went on that is not kept
    owner_not_run,   ///< the owner answered not-run for m_cause
    owner_unknown,   ///< the owner answered unknown for m_cause
    owner_complete,  ///< the head of a complete answer arrived, or all of a small one
    answer_begins,   ///< the next call may write an answer's first byte to the caller
    answer_whole,    ///< the caller has been sent the whole answer
    connection_lost, ///< the owner's connection ended, or its answer is short or foreign
    deadline,        ///< the request's deadline has passed
    caller_left,     ///< the caller's connection ended
};

struct entry_event {
    entry_event_kind m_kind = entry_event_kind::deadline;
    std::size_t m_attempt = 0;   ///< for events of an attempt
    cause m_cause = cause::none; ///< for refused, owner_not_run, owner_unknown, connection_lost

    bool operator==(const entry_event&) const = default;
};

enum class entry_action_kind {
    choose_owner,   ///< pick an owner not tried yet (with a ticket: its owner) and connect
    forward_answer, ///< pass the attempt's answer on to the caller
    abandon,        ///< close the attempt's connection; it is never used again
    answer,         ///< tell the caller m_end
    cut_caller,     ///< close the caller's connection: its answer cannot be made whole
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

/// The record of a request that has just arrived. The shell's first action is
/// choose_owner, unless it feeds `refused`.
[[nodiscard]] entry_state make_entry_state(const entry_facts& facts);

/// The state after `event` and what the shell does about it.
[[nodiscard]] entry_step step(const entry_state& state, const entry_event& event);

/// Whether the shell may begin one more attempt beside those that run, on its
/// retry budget: idempotent, no ticket, no answer begun, and attempts left.
[[nodiscard]] bool may_hedge(const entry_state& state);

/// Whether the next attempt must run apart: a target crashed with the request in
/// flight, which the entry tells the next owner by itself, ahead of any gossip.
[[nodiscard]] bool is_suspect(const entry_state& state);

/// What the entry could truthfully tell the caller now, were it to stop.
[[nodiscard]] conclusion conclude(const entry_state& state, cause why);

/// The time left that an entry states to an owner: a little less than its own,
/// so that the owner's "not run" arrives before the entry must say "unknown".
[[nodiscard]] std::chrono::milliseconds forwarded_deadline(std::chrono::milliseconds left);

} // namespace pomelohead::outcome
