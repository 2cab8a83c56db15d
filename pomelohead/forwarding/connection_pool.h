// A pool of idle connections to one endpoint.
//
// A connection carries one exchange at a time and returns to the pool only after a complete one.
// Whoever abandons an exchange destroys its connection, so that a late response can never be
// taken for that of another request.
//
//     reason why;
//     std::unique_ptr<client_connection> c = pool.acquire(deadline, why);
//     ... one exchange with a message_writer and a response_reader ...
//     if (auto reusable = reusable_connection::after(c, writer, reader)) {
//         pool.release(std::move(*reusable));
//     }
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
    time_point m_usable_until = time_point::max(); ///< the peer closes it soon afterwards

    /// Whether it has carried a complete exchange before.
    [[nodiscard]] bool was_released() const { return m_idle_since != time_point{}; }
};

/// A connection that can carry another exchange: both messages of the one before are complete.
class reusable_connection {
public:
    /// Nothing, and `c` is left as it is, if a part of the request has not been written or a part
    /// of the response has not been read, or if either side closes the connection.
    [[nodiscard]] static std::optional<reusable_connection>
    after(std::unique_ptr<client_connection>& c, const message_writer& request,
          const response_reader& response);

private:
    friend class connection_pool;
    explicit reusable_connection(std::unique_ptr<client_connection> c) : m_connection(std::move(c))
    {
    }

    std::unique_ptr<client_connection> m_connection;
};

/// Whether the peer has closed the connection or sent unexpected bytes.
[[nodiscard]] bool is_stale(client_connection& c);

/// Returns the time-out in a response's Keep-Alive header.
[[nodiscard]] std::optional<duration> keep_alive_timeout(const http::header<false>& head);

/// How long a peer may leave data unacknowledged before the connection counts as lost. With the
/// keepalive probes it stays below the 3 s after which a healed connection counts as stable.
inline constexpr milliseconds default_max_silence{2000};

/// Opens a connection. Fails with unreachable, timed_out.
[[nodiscard]] std::unique_ptr<client_connection>
connect(boost::asio::io_context& io, const endpoint& where, time_point deadline, reason& why,
        milliseconds max_silence = default_max_silence);

/// Long enough for one lost SYN packet on the way to another region.
inline constexpr duration default_connect_timeout = std::chrono::milliseconds(1000);

/// Whether a request may be sent on a connection that was in use before. The peer may be closing
/// it, and then nobody knows whether it has read the request.
enum class connection_reuse {
    always,
    unless_closed_early, ///< not while the peer closes connections that it has just used
};

/// The connections to one endpoint.
class connection_pool {
public:
    /// `connect_timeout` bounds the opening of a connection.
    connection_pool(boost::asio::io_context& io, endpoint where, std::size_t max_idle,
                    duration connect_timeout = default_connect_timeout,
                    milliseconds max_silence = default_max_silence)
        : m_io(io), m_where(std::move(where)), m_max_idle(max_idle),
          m_connect_timeout(connect_timeout), m_max_silence(max_silence)
    {
    }

    /// Returns an idle connection that is still open, or opens a new one.
    [[nodiscard]] std::unique_ptr<client_connection>
    acquire(time_point deadline, reason& why, connection_reuse reuse = connection_reuse::always);

    /// Returns a connection. `idle_limit`: the time after which the peer has announced to close it.
    void release(reusable_connection reusable, std::optional<duration> idle_limit = std::nullopt);

    /// Records that the peer has closed a connection soon after it was in use.
    void record_early_close();

    /// Whether there are idle connections that were in use recently, and the peer has closed them
    /// all.
    [[nodiscard]] bool has_lost_all_recently_used() const;

    /// Closes all idle connections.
    void clear() { m_idle.clear(); }

private:
    boost::asio::io_context& m_io;
    endpoint m_where;
    std::size_t m_max_idle;
    duration m_connect_timeout;
    milliseconds m_max_silence;
    time_point m_closes_early_until{}; ///< the peer is taken to close connections early until then
    std::deque<std::unique_ptr<client_connection>> m_idle;
};

} // namespace pomelohead::forwarding
