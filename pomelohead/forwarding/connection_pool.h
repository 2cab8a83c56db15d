// Idle connections to one endpoint, kept for the next exchange.
//
// A connection serves one exchange at a time and comes back only after a whole
// one; whoever abandons an exchange lets its connection be destroyed, so that a
// late answer can never meet another request.
//
//     reason why;
//     std::unique_ptr<client_connection> c = pool.acquire(deadline, why);
//     ... one whole exchange ...
//     pool.release(std::move(c));
#pragma once

#include "pomelohead/forwarding/http_server.h"

#include <deque>

namespace pomelohead::forwarding {

/// An open connection with the bytes read ahead on it.
struct client_connection {
    explicit client_connection(boost::asio::ip::tcp::socket socket) : m_stream(std::move(socket)) {}

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    time_point m_idle_since{};
    time_point m_usable_until = time_point::max(); ///< the other side closes it soon after
};

/// Whether the other side has closed the connection or sent something unasked.
[[nodiscard]] bool is_stale(client_connection& c);

/// The time-out that an answer's Keep-Alive field states for its connection.
[[nodiscard]] std::optional<duration> keep_alive_timeout(const http::header<false>& head);

/// Opens a connection. Fails with unreachable, timed_out.
[[nodiscard]] std::unique_ptr<client_connection>
connect(boost::asio::io_context& io, const endpoint& where, time_point deadline, reason& why);

/// Covers one lost opening packet on the way to another region.
inline constexpr duration default_connect_timeout = std::chrono::milliseconds(1000);

/// The connections to one endpoint.
class connection_pool {
public:
    /// Opening a connection takes at most `connect_timeout`.
    connection_pool(boost::asio::io_context& io, endpoint where, std::size_t max_idle,
                    duration connect_timeout = default_connect_timeout)
        : m_io(io), m_where(std::move(where)), m_max_idle(max_idle),
          m_connect_timeout(connect_timeout)
    {
    }

    /// An idle connection that still stands, or a new one.
    [[nodiscard]] std::unique_ptr<client_connection> acquire(time_point deadline, reason& why);

    /// Keeps a connection after a whole exchange. `idle_limit`: after which time the
    /// other side said that it closes the connection.
    void release(std::unique_ptr<client_connection> c,
                 std::optional<duration> idle_limit = std::nullopt);

    /// Whether a connection that was in use a moment ago has ended while idle: a sign
    /// that the other side's process has ended.
    [[nodiscard]] bool has_recently_used_closed() const;

    /// Drops all idle connections.
    void clear() { m_idle.clear(); }

private:
    boost::asio::io_context& m_io;
    endpoint m_where;
    std::size_t m_max_idle;
    duration m_connect_timeout;
    std::deque<std::unique_ptr<client_connection>> m_idle;
};

} // namespace pomelohead::forwarding
