// The headers exchanged by callers, entries, owners and targets.
//
// Between an entry and an owner they are the whole protocol: an ordinary HTTP/1.1 request with
// these headers added. docs/CALLERS.md describes those for callers.
#pragma once

#include "pomelohead/admission/request_facts.h"
#include "pomelohead/outcome/outcome.h"
#include "pomelohead/routing/call.h"
#include "pomelohead/runtime/reason.h"

#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace pomelohead::forwarding {

namespace http = boost::beast::http;

// In both directions between callers and entries, and passed on to owners.
inline constexpr std::string_view request_id_header = "Pomelohead-Request-Id";
inline constexpr std::string_view deadline_header = "Pomelohead-Deadline-Ms"; ///< time left
inline constexpr std::string_view depth_header = "Pomelohead-Depth";
inline constexpr std::string_view ticket_header = "Pomelohead-Ticket";
inline constexpr std::string_view outcome_header = "Pomelohead-Outcome";
inline constexpr std::string_view reason_header = "Pomelohead-Reason";

// From an entry to an owner.
inline constexpr std::string_view target_header = "Pomelohead-Target";
inline constexpr std::string_view route_header = "Pomelohead-Route";
inline constexpr std::string_view account_header = "Pomelohead-Account";
inline constexpr std::string_view class_header = "Pomelohead-Class";
inline constexpr std::string_view urgency_header = "Pomelohead-Urgency";
inline constexpr std::string_view version_header = "Pomelohead-Version";
inline constexpr std::string_view objective_header = "Pomelohead-Objective-Ms"; ///< time left
inline constexpr std::string_view attempt_header = "Pomelohead-Attempt";
inline constexpr std::string_view apart_header =
    "Pomelohead-Apart"; ///< run in isolation, or not at all
/// Whether the request may wait for a slot: "none" or "spare-only"; missing: it may.
inline constexpr std::string_view queueing_header = "Pomelohead-Queueing";
/// Identifies a body that is sent only once there is a slot for it, see body_digest().
inline constexpr std::string_view body_digest_header = "Pomelohead-Body-Digest";

// From an owner to an entry.
inline constexpr std::string_view load_report_header = "Pomelohead-Word";
inline constexpr std::string_view retry_after_header = "Pomelohead-Retry-After-Ms";
/// "true": the request has not been read and will not be, so it is not known whether it has a
/// ticket. Stands in place of an outcome.
inline constexpr std::string_view unread_header = "Pomelohead-Unread";

// From a target that declined a request without running it.
inline constexpr std::string_view not_run_header = "Pomelohead-Not-Run";

// From a target, in any response: the number of requests a second that it takes at most.
inline constexpr std::string_view max_rate_header = "Pomelohead-Max-Rate";
// From a target that is to get no new requests, in any response: "true".
inline constexpr std::string_view leaving_header = "Pomelohead-Leaving";

/// Bodies of at least this size are sent to an owner in another failure domain only once it has
/// granted a slot: a refused request then costs its head instead of its body. For smaller bodies
/// the extra round trip costs more than the bytes.
inline constexpr std::size_t expect_continue_min_bytes = 16UL * 1024UL;

/// The same for a request that is refused where it would have to wait: a refusal is likely.
inline constexpr std::size_t expect_continue_min_bytes_if_refusable = 1024UL;

/// Identifies a large body by a digest of its first bytes.
[[nodiscard]] std::string body_digest(std::string_view body);

/// When a caller may come back to an entry that is behind. It calls the store by itself, which
/// answers within a few milliseconds if it can be reached.
inline constexpr std::chrono::milliseconds outdated_retry_hint{100};

/// The largest accepted deadline or remaining time.
inline constexpr std::chrono::milliseconds max_deadline = std::chrono::hours(24);

/// The largest accepted depth of a call chain.
inline constexpr std::uint32_t max_depth = 1000;

/// Parses a whole number up to `max_value`; returns nothing for any other text.
[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text,
                                                        std::uint64_t max_value);

/// Parses a decimal number that is not negative; returns nothing for any other text.
[[nodiscard]] std::optional<double> parse_rate(std::string_view text);

/// Returns the time left from the deadline header `name`, or `default_value` if the header is
/// missing. Fails unless the header is a number of milliseconds from 1 to max_deadline.
[[nodiscard]] std::optional<std::chrono::milliseconds>
parse_deadline(const http::fields& fields, std::string_view name,
               std::chrono::milliseconds default_value, reason& why);

/// The value of the queueing header; empty: none is sent.
[[nodiscard]] std::string_view to_string(admission::queueing value);

/// Parses the queueing header. Any other text means that the request may wait.
[[nodiscard]] admission::queueing parse_queueing(std::string_view text);

/// Formats the load report that an owner adds to each response.
[[nodiscard]] std::string format_load_report(const routing::owner_load_report& report);

/// Removes the headers of the project's own interface.
void remove_protocol_headers(http::fields& fields);

/// Parses a load report; returns nothing if it is malformed.
[[nodiscard]] std::optional<routing::owner_load_report> parse_load_report(std::string_view text,
                                                                          time_point now);

/// Returns the value of a parameter in the query part of an HTTP target, with %XX and + decoded;
/// nothing if it is missing.
[[nodiscard]] std::optional<std::string> query_parameter(std::string_view target,
                                                         std::string_view name);

/// Sets the status, the outcome headers and Retry-After of a response that does not come from a
/// target.
void set_conclusion_headers(http::header<false>& head, const outcome::conclusion& conclusion,
                            std::chrono::milliseconds retry_hint);

} // namespace pomelohead::forwarding
