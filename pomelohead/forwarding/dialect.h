// How callers and targets express what forwarding needs to know of a request.
//
// Entries and owners use the project's own headers (headers.h). Callers and targets may use
// others; a dialect names them and classifies the responses of targets. The default is the
// project's own interface, described in docs/CALLERS.md.
//
//     entry_options options;
//     options.m_dialect = make_platform_dialect(service_of_this_host);
#pragma once

#include "pomelohead/outcome/outcome.h"
#include "pomelohead/runtime/reason.h"
#include "pomelohead/runtime/timer_service.h"

#include <boost/beast/http/message.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pomelohead::forwarding {

namespace http = boost::beast::http;

/// How a target's response is to be understood.
enum class target_response_kind {
    complete,    ///< the response to it, once all of its bytes have arrived
    declined,    ///< the target has not run it and never will
    misdirected, ///< another target responds at the address, and has not run it
    invalid,     ///< not a response that the target could have meant
};

/// What a target says of itself in its responses, for as long as it says so.
struct target_statement {
    /// How many requests a second it takes from all nodes together; nullopt: any number.
    std::optional<double> m_max_rate;
    bool m_is_leaving = false; ///< it ends soon and is to get no new requests

    bool operator==(const target_statement&) const = default;
};

/// What a target's health page says of the process that responds there.
struct target_health {
    bool m_is_healthy = false;                  ///< it considers itself able to take requests
    std::optional<std::string> m_instance;      ///< its id
    std::optional<milliseconds> m_warm_up_left; ///< for which it warms up; zero: it does not

    bool operator==(const target_health&) const = default;
};

/// Reads the response to a health query. Fails with refused if it is not from the target itself,
/// with invalid if the warm-up time in it is implausible.
using read_health_fn =
    std::function<std::optional<target_health>(unsigned status, const http::fields&, reason& why)>;

/// The headers of a health page.
struct health_headers {
    std::string_view m_instance; ///< empty: none
    std::string_view m_warm_up_left;
};

/// Reads a health page with the given headers: status 200 or 503, and one of the headers. A healthy
/// target that states its id and no warm-up is warm.
[[nodiscard]] std::optional<target_health> read_health_page(unsigned status,
                                                            const http::fields& fields,
                                                            const health_headers& headers,
                                                            reason& why);

/// The headers and rules used between a node and its callers and targets.
struct dialect {
    std::string m_request_id;     ///< header, in both directions
    std::string m_deadline;       ///< header with the milliseconds left
    std::string m_instance;       ///< header that names the intended target; empty: none
    std::string m_caller_service; ///< header that names the caller's service; empty: none
    std::string m_ready_path;     ///< path for readiness requests on the ready port
    /// Whether a response must repeat the request's id. If not, only one with another id is
    /// rejected.
    bool m_requires_request_id_echo = false;
    /// Whether a response that is delimited by the end of its connection counts as complete. Even
    /// then it does so only if the whole request has been written.
    bool m_accepts_unframed_responses = false;

    std::function<target_response_kind(const http::header<false>&)> m_classify_response;
    std::function<target_statement(const http::header<false>&)> m_read_statement;
    read_health_fn m_read_health; ///< of the target's health page; empty: it is not queried
    /// Writes the status and headers of a response that does not come from a target.
    std::function<void(http::header<false>&, const outcome::conclusion&, milliseconds retry_hint)>
        m_write_conclusion;
    /// Adds the headers for callers to a target's complete response.
    std::function<void(http::header<false>&, const std::string& request_id)>
        m_write_complete_headers;
};

/// The project's own interface.
[[nodiscard]] dialect make_native_dialect();

} // namespace pomelohead::forwarding
