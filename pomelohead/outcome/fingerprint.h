// Request fingerprints: which requests count as the same when one has crashed a target.
//
// A caller resends a crashing request with a different ticket, request id and deadline,
// so these are left out. The fingerprint covers what the target acts on: method, path
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

/// The fingerprint covers at most this many bytes of the body.
inline constexpr std::size_t fingerprint_body_bytes = 64 * 1024;

/// The parts of a request that the fingerprint covers.
struct request_content {
    struct header {
        std::string m_name;
        std::string m_value;

        bool operator==(const header&) const = default;
    };
    std::string m_method;
    std::string m_target; ///< path and query as sent
    std::vector<header> m_headers;
    std::string m_body_prefix; ///< truncated to fingerprint_body_bytes

    bool operator==(const request_content&) const = default;
};

/// Whether the fingerprint ignores headers of this name, because they differ between a
/// request and its resends or belong to one connection: all Pomelohead-*, tracing, date,
/// host and hop-by-hop headers.
[[nodiscard]] bool is_excluded_header(std::string_view name);

/// Returns 32 lower-case hex digits. The order of headers and the case of their names
/// make no difference.
[[nodiscard]] std::string make_fingerprint(const request_content& content);

} // namespace pomelohead::outcome
