// Fetches admin pages over HTTP/1.1, from many nodes in parallel.
//
//     const std::vector<node_address> nodes = {{"127.0.1.1"}, {"127.0.1.2"}};
//     for (const admin_answer& answer : fetch_all(nodes, "/status", 2s)) {
//         if (!answer.m_body) {
//             std::cerr << answer.m_why.m_text << '\n';
//         }
//     }
#pragma once

#include "pomelohead/runtime/reason.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::cli {

/// The admin port where none is given.
inline constexpr std::uint16_t default_admin_port = 7403;

/// The largest answer that is read.
inline constexpr std::size_t max_answer_bytes = 8'000'000;

/// Nodes that are asked at the same time.
inline constexpr std::size_t max_parallel_requests = 64;

/// Where a node's admin page is.
struct node_address {
    std::string m_address = "127.0.0.1"; ///< an IP address
    std::uint16_t m_port = default_admin_port;

    bool operator==(const node_address&) const = default;
};

/// Reads "IP", "IP:PORT" or "[IPv6]:PORT".
[[nodiscard]] std::optional<node_address> parse_node_address(const std::string& text, reason& why);

/// "127.0.1.1:7403", "[::1]:7403".
[[nodiscard]] std::string to_string(const node_address& node);

/// What one node answered: the body of a 200, or why there is none.
struct admin_answer {
    node_address m_node;
    std::optional<std::string> m_body;
    reason m_why;

    bool operator==(const admin_answer&) const = default;
};

/// GETs `path` from each node; the answers stand in the order of `nodes`. No node
/// takes longer than `limit`. Reasons: unreachable, timed_out, interrupted,
/// malformed, too_large, not_found (404) and refused (any other status).
[[nodiscard]] std::vector<admin_answer> fetch_all(const std::vector<node_address>& nodes,
                                                  const std::string& path,
                                                  std::chrono::milliseconds limit);

/// The signature of fetch_all, as commands take it.
using fetch_function = std::function<std::vector<admin_answer>(
    const std::vector<node_address>&, const std::string&, std::chrono::milliseconds)>;

/// `text` as a value in a query string.
[[nodiscard]] std::string percent_encode(std::string_view text);

} // namespace pomelohead::cli
