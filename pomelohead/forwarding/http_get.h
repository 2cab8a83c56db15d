// One GET with its whole answer in memory, for calls between processes.
//
//     reason why;
//     std::optional<full_response> a = http_get(pool, "10.0.0.7", "/x", {.m_deadline = d}, calls,
//     why);
#pragma once

#include "pomelohead/forwarding/connection_pool.h"

#include <list>

namespace pomelohead::forwarding {

/// Limits of one call.
struct get_limits {
    time_point m_deadline; ///< for the head of the answer
    time_point m_connect_deadline = time_point::max();
    /// For each piece of the body: a large body over a slow link takes long, and goes on.
    duration m_piece_timeout = std::chrono::milliseconds(1'500);
    std::size_t m_max_bytes = 16UL * 1024UL * 1024UL;
};

/// A status with its body.
struct full_response {
    unsigned m_status = 0;
    std::string m_body;
};

/// The connections of calls that are under way; closing one ends its call.
using calls_in_flight = std::list<client_connection*>;

/// Asks for `path`. Fails with the reasons of an exchange, and too_large.
[[nodiscard]] std::optional<full_response> http_get(connection_pool& pool, const std::string& host,
                                                    const std::string& path,
                                                    const get_limits& limits,
                                                    calls_in_flight& in_flight, reason& why);

} // namespace pomelohead::forwarding
