// A GET request whose complete response is held in memory, for calls between processes.
//
//     reason why;
//     std::optional<full_response> r =
//         http_get(pool, "10.0.0.7", "/x", {.m_deadline = d}, calls, why);
#pragma once

#include "pomelohead/forwarding/connection_pool.h"

#include <functional>
#include <list>

namespace pomelohead::forwarding {

/// Limits of one call.
struct get_limits {
    time_point m_deadline; ///< for the head of the response
    time_point m_connect_deadline = time_point::max();
    /// For each piece of the body: a large body over a slow link may take long as long as it makes
    /// progress.
    duration m_piece_timeout = std::chrono::milliseconds(1'500);
    duration m_body_timeout = std::chrono::seconds(30); ///< for the whole body
    std::size_t m_max_bytes = 16UL * 1024UL * 1024UL;
    /// Called once there is a connection, before anything is written; may be empty.
    std::function<void()> m_on_connected{};
};

/// A response in full.
struct full_response {
    unsigned m_status = 0;
    http::fields m_fields;
    std::string m_body;
};

/// The connections of calls in progress; closing one aborts its call.
using in_flight_calls = std::list<client_connection*>;

/// Requests `path`. Fails with the reasons of an exchange, and with too_large.
[[nodiscard]] std::optional<full_response> http_get(connection_pool& pool, const std::string& host,
                                                    const std::string& path,
                                                    const get_limits& limits,
                                                    in_flight_calls& in_flight, reason& why);

} // namespace pomelohead::forwarding
