// The outcome of a request as reported to its caller: complete, not run or unknown.
//
//     complete   the whole answer to this request follows; it ran exactly once
//     not_run    no target has started the request, and none ever will
//     unknown    it may have run, in whole or in part, or may still run
//
// "Not run" also covers the future, so only two parties can report it: an entry
// that has written no byte of the request to any owner, and an owner that has not
// handed it over (or whose target declined it without running it) and discards it
// permanently. Every uncertain case is "unknown". With a ticket (ticket.h) only the
// owner that the ticket names can report "not run".
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

/// What is known about the execution of a request when its caller is answered.
enum class outcome { complete, not_run, unknown };

/// Why a request was not run or its outcome is not known.
enum class cause {
    none,                   ///< complete
    malformed_request,      ///< the caller's bytes are not a valid HTTP request
    malformed_ticket,       ///< the ticket's text is not in the format that nodes issue
    foreign_ticket,         ///< the ticket was not issued by the owner that it names
    ticket_reused,          ///< the ticket was already used for a request with different content
    no_route,               ///< no route matches
    body_too_large,         ///< above the accepted size
    headers_too_large,      ///< above the accepted size
    overloaded,             ///< shed under load, or would not finish in time
    rate_limited,           ///< over the rate of requests that the target takes
    outdated_configuration, ///< there may be a newer configuration that decides otherwise
    no_owner,               ///< no owner is available or reachable
    draining,               ///< the target is draining
    misdirected,            ///< the named target is not one of the owner's in its configuration
    target_unreachable,     ///< connecting to the target failed
    target_refused,         ///< the target declined the request without running it
    quarantined,            ///< requests with this fingerprint have crashed targets
    no_idle_target,         ///< it must run alone, and every target is busy
    retry_refused,          ///< the retry budget is exhausted
    deadline,               ///< the deadline passed
    caller_left,            ///< the caller closed its connection
    connection_lost,        ///< the connection to the owner was lost
    target_lost,            ///< the connection to the target was lost
    target_crashed,         ///< the target's process exited with the request in flight
    truncated_answer,       ///< the answer ended before its declared length
    mismatched_answer,      ///< the answer belongs to another request
    internal_error,         ///< a fault of a node; its log has a line "request_failed"
    owner_replaced,         ///< the ticket names an incarnation of the owner that has ended
    ticket_expired,         ///< the ticket has expired and its outcome is no longer stored
    already_ran,            ///< it ran, but its answer is not stored
};

/// The outcome of a request together with its cause.
struct conclusion {
    outcome m_outcome = outcome::unknown;
    cause m_cause = cause::none;

    bool operator==(const conclusion&) const = default;
};

/// The value of Pomelohead-Outcome: "complete", "not-run" or "unknown".
[[nodiscard]] std::string_view to_string(outcome value);

/// The value of Pomelohead-Reason, e.g. "no-route".
[[nodiscard]] std::string_view to_string(cause value);

/// Parses a Pomelohead-Outcome header; nullopt for any other text. An entry
/// treats an answer without a valid outcome as lost.
[[nodiscard]] std::optional<outcome> parse_outcome(std::string_view text);

/// Parses a Pomelohead-Reason header; nullopt for any other text.
[[nodiscard]] std::optional<cause> parse_cause(std::string_view text);

/// The HTTP status for a caller. A complete answer keeps the target's own status;
/// this function returns 200 for it. Not run: 400, 404, 413 or 431 where no node would
/// run the request, else 503. Unknown: 504 for a passed deadline, 409 for a ticket
/// reused with different content, else 502.
[[nodiscard]] std::uint16_t http_status(const conclusion& end);

/// Whether a later retry of the same request is safe and can succeed.
[[nodiscard]] bool is_retry_safe(const conclusion& end);

/// Retry-After in whole seconds, at least 1, for a retry-safe refusal; nullopt
/// otherwise. `hint` is the refusing node's estimate of the delay, or zero.
[[nodiscard]] std::optional<std::chrono::seconds> retry_after(const conclusion& end,
                                                              std::chrono::milliseconds hint);

} // namespace pomelohead::outcome
