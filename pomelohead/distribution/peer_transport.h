// Sends and receives messages between nodes over WebSocket connections.
//
// The interface is that of a datagram service: send() reuses a connection of either
// direction or opens one, and reports no result; undeliverable messages are dropped. Idle
// connections are closed, and the number of connections is bounded whatever the size of
// the fleet.
//
// The first message of each side is a hello with the address under which that side is
// known. Malformed or oversized messages and other protocol versions are logged, and their
// connection is closed.
//
//     peer_transport peers({.m_address = "127.0.1.1"}, timers, io,
//                          {.m_make_hello = ..., .m_receive = ..., .m_failed = ...});
//     if (!peers.start(why)) { ... }
//     peers.send("127.0.1.2", ping{...});
#pragma once

#include "pomelohead/distribution/log_hook.h"
#include "pomelohead/distribution/messages.h"
#include "pomelohead/distribution/traffic.h"
#include "pomelohead/runtime/timer_service.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace pomelohead::distribution {

/// Address and limits of a transport.
struct transport_options {
    std::string m_address;                      ///< own IP
    std::uint16_t m_port = 7402;                ///< to listen on; the same on all nodes
    std::size_t m_max_links = 128;              ///< above this the least recently used is closed
    milliseconds m_idle_timeout{30'000};        ///< without a message, until a connection is closed
    milliseconds m_hello_timeout{5'000};        ///< for the peer's first message
    std::size_t m_max_pending_messages = 64;    ///< messages buffered until a connection is open
    std::size_t m_max_unsent_bytes = 4'000'000; ///< above this a connection is closed as too slow

    bool operator==(const transport_options&) const = default;
};

/// Callbacks into the owner of a transport. They run in completion handlers and must not
/// suspend.
struct transport_hooks {
    std::function<hello()> m_make_hello;
    std::function<void(const std::string& from, message)> m_receive;
    std::function<void(const std::string& address)> m_failed; ///< the connection failed or was lost
    log_hook m_log;
};

/// The connections of one node to others.
class peer_transport {
public:
    /// `timers` and `io` must outlive the transport.
    peer_transport(transport_options options, timer_service& timers, boost::asio::io_context& io,
                   transport_hooks hooks);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /// Opens the port. Returns false with the reason if that fails.
    bool start(reason& why);

    /// Closes all connections; suspends the calling fiber until they are closed.
    void stop();

    /// Sends a message, or drops it if it cannot be delivered.
    void send(const std::string& address, const message& item);

    /// Closes the connections to these addresses and rejects new ones. Replaces the earlier
    /// list.
    void block(std::vector<std::string> addresses);

    /// The number of connections, including those not yet open.
    [[nodiscard]] std::size_t link_count() const;

    /// Messages, WebSocket frames and handshakes; without TCP/IP headers.
    [[nodiscard]] std::uint64_t bytes_sent() const;
    [[nodiscard]] std::uint64_t bytes_received() const;

    /// Messages sent and received so far, by type.
    [[nodiscard]] std::vector<message_count> messages() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace pomelohead::distribution
