// Which requests count as the same when one of them has crashed a target.
//
// A caller sends a crashing request again with another ticket, request id and
// deadline, so these stay out; what the target acts on goes in: method, path
// with query, the first bytes of the body, and the caller's other headers.
//
//     std::string f = make_fingerprint({.m_method = "POST", .m_target = "/swap?week=3",
//                                       .m_headers = {{"Accept", "text/html"}},
//                                       .m_body_prefix = body});
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::outcome {

/// How many bytes of a body count.
inline constexpr std::size_t fingerprint_body_bytes = 64 * 1024;

/// The parts of a request that count.
struct request_content {
    struct header {
        std::string m_name;
        std::string m_value;

        bool operator==(const header&) const = default;
    };
    std::string m_method;
    std::string m_target; ///< path and query as sent
    std::vector<header> m_headers;
    std::string m_body_prefix; ///< more than fingerprint_body_bytes is cut off

    bool operator==(const request_content&) const = default;
};

/// Whether a header of this name differs between a request and its resends, or
/// belongs to one connection: all Pomelohead-*, tracing, dates, host and hops.
[[nodiscard]] bool is_excluded_header(std::string_view name);

/// 32 lower-case hex digits. Header names count without regard to case, and in any order.
[[nodiscard]] std::string make_fingerprint(const request_content& content);

} // namespace pomelohead::outcome
