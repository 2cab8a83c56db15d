#include "testing/fiber_net.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/signal_set.hpp>

#include <array>
#include <csignal>

namespace pomelohead::testing {

void pause_until(boost::asio::io_context& io, time_point when)
{
    boost::asio::steady_timer timer(io, when);
    await<error_code>([&](auto handler) { timer.async_wait(std::move(handler)); });
}

struct connection_wait::state {
    explicit state(tcp::socket& socket) : m_socket(socket), m_timer(socket.get_executor()) {}

    void finish(wait_end end)
    {
        if (m_finish) {
            std::exchange(m_finish, nullptr)(end);
        }
    }

    tcp::socket& m_socket; ///< valid while m_finish is set
    boost::asio::steady_timer m_timer;
    std::function<void(wait_end)> m_finish;
};

connection_wait::connection_wait(tcp::socket& socket) : m_state(std::make_shared<state>(socket))
{
}

wait_end connection_wait::until(time_point when)
{
    const auto [end] = await<wait_end>([&](auto handler) {
        m_state->m_finish = std::move(handler);
        m_state->m_timer.expires_at(when);
        m_state->m_timer.async_wait([shared = m_state](error_code error) {
            if (!error) {
                shared->finish(wait_end::time);
            }
        });
        watch_peer(m_state);
    });
    m_state->m_timer.cancel();
    error_code ignored;
    m_state->m_socket.cancel(ignored);
    return end;
}

void connection_wait::watch_peer(const std::shared_ptr<state>& shared)
{
    shared->m_socket.async_wait(tcp::socket::wait_read, [shared](error_code error) {
        if (!shared->m_finish) {
            return;
        }
        if (!error) {
            shared->m_socket.non_blocking(true, error);
            std::array<char, 1> byte{};
            shared->m_socket.receive(boost::asio::buffer(byte), tcp::socket::message_peek, error);
        }
        if (error && error != boost::asio::error::would_block) {
            shared->finish(wait_end::peer_closed);
        }
    });
}

void connection_wait::wake()
{
    m_state->finish(wait_end::woken);
}

fiber_server::fiber_server(boost::asio::io_context& io, const std::string& address,
                           std::uint16_t port, serve_function serve)
    : m_io(io), m_acceptor(io), m_serve(std::move(serve))
{
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
}

void fiber_server::run()
{
    while (m_acceptor.is_open()) {
        tcp::socket socket(m_io);
        const auto [error] = await<error_code>(
            [&](auto handler) { m_acceptor.async_accept(socket, std::move(handler)); });
        if (error) {
            // Out of descriptors and the like: the listener stays, connections will end.
            pause_until(m_io, clock_type::now() + milliseconds(5));
            continue;
        }
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto position = m_connections.insert(m_connections.end(), std::move(socket));
        m_fibers.spawn([this, position] {
            m_serve(*position);
            m_connections.erase(position);
        });
    }
    m_fibers.wait();
}

void fiber_server::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

void fiber_server::close_connections()
{
    for (tcp::socket& socket : m_connections) {
        error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
}

void on_stop_signal(boost::asio::io_context& io, std::function<void()> stop)
{
    auto signals = std::make_shared<boost::asio::signal_set>(io, SIGTERM, SIGINT);
    signals->async_wait([signals, stop = std::move(stop)](error_code error, int) {
        if (!error) {
            stop();
        }
    });
}

} // namespace pomelohead::testing
