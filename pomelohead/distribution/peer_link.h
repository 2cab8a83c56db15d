// A WebSocket connection of peer_transport.cc. Only that file includes this header, as
// websocketpp is slow to compile.
#pragma once

#include "pomelohead/distribution/messages.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <deque>
#include <memory>

namespace pomelohead::distribution::detail {

/// websocketpp settings for connections of both directions.
struct link_config : websocketpp::config::asio_client {
    using type = link_config;
    static constexpr std::size_t max_message_size = max_message_bytes;
    static constexpr std::size_t connection_read_buffer_size = 4'096;
};

using client_endpoint = websocketpp::client<link_config>;
using server_endpoint = websocketpp::server<link_config>;
using connection = websocketpp::connection<link_config>;

/// A connection to a peer.
struct link {
    std::shared_ptr<connection> m_connection;
    std::string m_address; ///< of the peer; empty on an incoming connection until its hello
    bool m_is_outgoing = false;
    bool m_is_open = false;
    bool m_has_received_hello = false; ///< from the peer
    time_point m_created_at{};
    time_point m_last_used{};
    std::deque<std::string> m_pending_messages; ///< messages to send once the connection is open
};

using link_ptr = std::shared_ptr<link>;

/// The size of a frame's header (RFC 6455, section 5.2).
inline std::size_t frame_header_bytes(std::size_t payload, bool masked)
{
    constexpr std::size_t max_short = 125;
    constexpr std::size_t max_medium = 65'535;
    const std::size_t size = payload <= max_short ? 2 : payload <= max_medium ? 4 : 10;
    return size + (masked ? 4 : 0);
}

/// The WebSocket URI of the node at an IP address.
inline std::string uri_of(const std::string& address, std::uint16_t port)
{
    const bool v6 = address.find(':') != std::string::npos;
    return "ws://" + (v6 ? "[" + address + "]" : address) + ":" + std::to_string(port) + "/";
}

} // namespace pomelohead::distribution::detail
