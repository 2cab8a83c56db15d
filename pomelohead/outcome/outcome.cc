#include "pomelohead/outcome/outcome.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pomelohead::outcome {
namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_payload_too_large = 413;
constexpr std::uint16_t status_headers_too_large = 431;
constexpr std::uint16_t status_bad_gateway = 502;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_gateway_timeout = 504;

struct cause_name {
    cause m_cause;
    std::string_view m_name;
};

constexpr std::array cause_names = {
    cause_name{cause::none, "none"},
    cause_name{cause::malformed_request, "malformed-request"},
    cause_name{cause::malformed_ticket, "malformed-ticket"},
    cause_name{cause::foreign_ticket, "foreign-ticket"},
    cause_name{cause::ticket_reused, "ticket-reused"},
    cause_name{cause::no_route, "no-route"},
    cause_name{cause::body_too_large, "body-too-large"},
    cause_name{cause::headers_too_large, "headers-too-large"},
    cause_name{cause::overloaded, "overloaded"},
    cause_name{cause::rate_limited, "rate-limited"},
    cause_name{cause::outdated_configuration, "outdated-configuration"},
    cause_name{cause::no_owner, "no-owner"},
    cause_name{cause::draining, "draining"},
    cause_name{cause::misdirected, "misdirected"},
    cause_name{cause::target_unreachable, "target-unreachable"},
    cause_name{cause::target_refused, "target-refused"},
    cause_name{cause::quarantined, "quarantined"},
    cause_name{cause::no_idle_target, "no-idle-target"},
    cause_name{cause::retry_refused, "retry-refused"},
    cause_name{cause::deadline, "deadline"},
    cause_name{cause::caller_left, "caller-left"},
    cause_name{cause::connection_lost, "connection-lost"},
    cause_name{cause::target_lost, "target-lost"},
    cause_name{cause::target_crashed, "target-crashed"},
    cause_name{cause::truncated_answer, "short-answer"},
    cause_name{cause::mismatched_answer, "foreign-answer"},
    cause_name{cause::internal_error, "internal-error"},
    cause_name{cause::owner_replaced, "owner-replaced"},
    cause_name{cause::ticket_expired, "ticket-expired"},
    cause_name{cause::already_ran, "already-ran"},
};

std::uint16_t not_run_status(cause value)
{
    switch (value) {
    case cause::malformed_request:
    case cause::malformed_ticket:
        return status_bad_request;
    case cause::no_route:
        return status_not_found;
    case cause::body_too_large:
        return status_payload_too_large;
    case cause::headers_too_large:
        return status_headers_too_large;
    default:
        return status_unavailable;
    }
}

std::uint16_t unknown_status(cause value)
{
    if (value == cause::deadline) {
        return status_gateway_timeout;
    }
    return value == cause::ticket_reused ? status_conflict : status_bad_gateway;
}

} // namespace

std::string_view to_string(outcome value)
{
    switch (value) {
    case outcome::complete:
        return "complete";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view to_string(cause value)
{
    const auto* const it = std::ranges::find(cause_names, value, &cause_name::m_cause);
    return it == cause_names.end() ? "none" : it->m_name;
}

std::optional<outcome> parse_outcome(std::string_view text)
{
    for (const outcome value : {outcome::complete, outcome::not_run, outcome::unknown}) {
        if (to_string(value) == text) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<cause> parse_cause(std::string_view text)
{
    const auto* const it = std::ranges::find(cause_names, text, &cause_name::m_name);
    if (it == cause_names.end()) {
        return std::nullopt;
    }
    return it->m_cause;
}

std::uint16_t http_status(const conclusion& end)
{
    switch (end.m_outcome) {
    case outcome::complete:
        return status_ok;
    case outcome::not_run:
        return not_run_status(end.m_cause);
    case outcome::unknown:
        return unknown_status(end.m_cause);
    }
    return status_bad_gateway;
}

bool is_retry_safe(const conclusion& end)
{
    return end.m_outcome == outcome::not_run && not_run_status(end.m_cause) == status_unavailable;
}

std::optional<std::chrono::seconds> retry_after(const conclusion& end,
                                                std::chrono::milliseconds hint)
{
    if (!is_retry_safe(end)) {
        return std::nullopt;
    }
    return std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(hint));
}

} // namespace pomelohead::outcome
