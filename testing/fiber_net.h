// Sockets for the stand-ins: fibers that accept, wait and notice a closed peer.
//
//     boost::asio::io_context& io = install_fiber_scheduler();
//     fiber_server server(io, "127.0.0.1", 7500, [](tcp::socket& socket) { answer(socket); });
//     server.run();
#pragma once

#include "pomelohead/runtime/fiber.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace pomelohead::testing {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Suspends the calling fiber until `when`, to the precision of the system's timers.
void pause_until(boost::asio::io_context& io, time_point when);

/// Why a connection_wait ended.
enum class wait_end { time, woken, peer_closed };

/// Waits on behalf of one connection; ends early by wake() or when the peer closes.
class connection_wait {
public:
    /// No other operation may run on `socket` during until().
    explicit connection_wait(tcp::socket& socket);

    /// Suspends the calling fiber until `when`, wake() or the peer's close.
    wait_end until(time_point when);

    /// Ends a running until(); without one, does nothing.
    void wake();

private:
    struct state;
    static void watch_peer(const std::shared_ptr<state>& shared);

    std::shared_ptr<state> m_state;
};

/// A TCP listener with one fiber per connection.
class fiber_server {
public:
    using serve_function = std::function<void(tcp::socket&)>;

    /// Binds and listens; throws boost::system::system_error where it can't.
    fiber_server(boost::asio::io_context& io, const std::string& address, std::uint16_t port,
                 serve_function serve);

    /// Accepts until stop(), then waits until all connections have ended.
    void run();

    /// Stops accepting; open connections go on.
    void stop();

    /// Closes all open connections, which ends what their fibers wait for.
    void close_connections();

    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }

private:
    boost::asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    serve_function m_serve;
    std::list<tcp::socket> m_connections;
    fiber_group m_fibers;
};

/// Calls `stop` once, at the first SIGTERM or SIGINT.
void on_stop_signal(boost::asio::io_context& io, std::function<void()> stop);

} // namespace pomelohead::testing
