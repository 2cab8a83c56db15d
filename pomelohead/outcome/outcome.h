// What a caller is told about its request: complete, not run, or unknown.
//
//     complete   the whole answer to this request follows; it ran once
//     not_run    no target has begun the request, and none ever will
//     unknown    it may have run, in whole or in part, or may still
//
// "Not run" is a promise about the future too, so only two parties can make it:
// an entry that has written no byte of the request to any owner, and an owner
// that has not handed it over (or whose target declined it unrun) and discards
// it for good. Every doubt is "unknown". With a ticket (ticket.h) only the
// owner that the ticket names can say "not run".
//
//     const conclusion end{outcome::not_run, cause::overloaded};
//     http_status(end);      // 503
//     retry_after(end, 2s);  // 2 s
//     to_string(end.m_outcome);  // "not-run", the header Pomelohead-Outcome
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pomelohead::outcome {

/// What is known about a request when its caller is answered.
enum class outcome { complete, not_run, unknown };

/// Why a request was not run or its outcome is not known.
enum class cause {
    none,               ///< complete
    malformed_request,  ///< the caller's bytes are not a request
    malformed_ticket,   ///< the ticket's text is not one that a node issues
    foreign_ticket,     ///< the ticket was not issued by the owner that it names
    ticket_reused,      ///< the ticket has been used for a request with other content
    no_route,           ///< no route matches
    body_too_large,     ///< above the size that is accepted
    headers_too_large,  ///< above the size that is accepted
    overloaded,         ///< shed, or would not be done in time
    no_owner,           ///< no owner can be chosen or reached
    draining,           ///< the target is leaving
    misdirected,        ///< the owner does not own the named target in its configuration
    target_unreachable, ///< no connection to the target was made
    target_refused,     ///< the target declined the request without running it
    quarantined,        ///< such a request has crashed targets
    no_idle_target,     ///< it may run only on a target that runs nothing else
    retry_refused,      ///< the retry budget is used up
    deadline,           ///< the deadline passed
    caller_left,        ///< the caller's connection ended
    connection_lost,    ///< the connection to the owner was lost
    target_lost,        ///< the connection to the target was lost
    target_crashed,     ///< the target's process ended with the request in flight
    short_answer,       ///< the answer ended before its stated length
    foreign_answer,     ///< the answer belongs to another request
    owner_replaced,     ///< the incarnation that the ticket names has ended
    ticket_expired,     ///< the ticket's time is over and its outcome forgotten
    already_ran,        ///< it ran, but the answer is no longer held
};

/// How a request ended, as one value.
struct conclusion {
    outcome m_outcome = outcome::unknown;
    cause m_cause = cause::none;

    bool operator==(const conclusion&) const = default;
};

/// The value of Pomelohead-Outcome: "complete", "not-run" or "unknown".
[[nodiscard]] std::string_view to_string(outcome value);

/// The value of Pomelohead-Reason, e.g. "no-route".
[[nodiscard]] std::string_view to_string(cause value);

/// The outcome of a Pomelohead-Outcome header; nothing for any other text. An
/// entry treats an answer without a valid one as lost.
[[nodiscard]] std::optional<outcome> parse_outcome(std::string_view text);

/// The cause of a Pomelohead-Reason header; nothing for any other text.
[[nodiscard]] std::optional<cause> parse_cause(std::string_view text);

/// The HTTP status for a caller. A complete answer keeps the target's own; 200
/// stands for it here. Not run: 400, 404, 413 or 431 where no node would run the
/// request, else 503. Unknown: 504 for a passed deadline, 409 for a ticket used with
/// other content, else 502.
[[nodiscard]] std::uint16_t http_status(const conclusion& end);

/// Whether sending the same request again at a later time can help, without risk.
[[nodiscard]] bool is_retry_safe(const conclusion& end);

/// Retry-After in whole seconds, at least 1, for a retry-safe refusal; nothing
/// for all others. `hint` is the refusing party's estimate, or zero.
[[nodiscard]] std::optional<std::chrono::seconds> retry_after(const conclusion& end,
                                                              std::chrono::milliseconds hint);

} // namespace pomelohead::outcome
