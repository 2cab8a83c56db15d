// Carries messages between nodes over WebSocket connections.
//
// To its user it is a datagram service: send() makes a connection where there is
// none, uses whichever there is otherwise, in either direction, and gives no answer;
// what cannot be delivered is dropped. Connections that are not used are closed, and
// their number is bounded, whatever the size of the fleet.
//
// Each side's first message is a hello, which says under which address the other one
// is known. Bytes that are no message, oversized messages and other protocol
// versions are logged and close their connection.
//
//     peer_transport peers({.m_address = "127.0.1.1"}, timers, io,
//                          {.m_greeting = ..., .m_receive = ..., .m_failed = ...});
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

/// Limits of a transport.
struct transport_options {
    std::string m_address;                      ///< own IP
    std::uint16_t m_port = 7402;                ///< listened on, and the same on all nodes
    std::size_t m_max_links = 128;              ///< above this the longest unused is closed
    milliseconds m_idle_limit{30'000};          ///< an unused connection is closed after this
    milliseconds m_hello_limit{5'000};          ///< for the other side's first message
    std::size_t m_max_queued = 64;              ///< messages kept while a connection is being made
    std::size_t m_max_unsent_bytes = 4'000'000; ///< a connection slower than this is closed

    bool operator==(const transport_options&) const = default;
};

/// What a transport asks of its owner. Called from completion handlers: must not wait.
struct transport_hooks {
    std::function<hello()> m_greeting;
    std::function<void(const std::string& from, message)> m_receive;
    std::function<void(const std::string& address)> m_failed; ///< not reached, or lost
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

    /// Closes everything; suspends the calling fiber until it is closed.
    void stop();

    void send(const std::string& address, const message& item);

    /// Has no connections with these addresses any more. Replaces the earlier list.
    void block(std::vector<std::string> addresses);

    [[nodiscard]] std::size_t links() const;

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
