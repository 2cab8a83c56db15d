// One WebSocket connection of peer_transport.cc, which alone includes this header:
// websocketpp is slow to compile.
#pragma once

#include "pomelohead/distribution/messages.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <deque>
#include <memory>

namespace pomelohead::distribution::detail {

/// websocketpp's settings for both directions.
struct link_config : websocketpp::config::asio_client {
    using type = link_config;
    static constexpr std::size_t max_message_size = max_message_bytes;
    static constexpr std::size_t connection_read_buffer_size = 4'096;
};

using client_endpoint = websocketpp::client<link_config>;
using server_endpoint = websocketpp::server<link_config>;
using connection = websocketpp::connection<link_config>;

/// A connection and what is known of its other side.
struct link {
    std::shared_ptr<connection> m_connection;
    std::string m_address; ///< of the other side; empty until its hello
    bool m_outgoing = false;
    bool m_open = false;
    bool m_greeted = false; ///< its hello has come
    time_point m_made{};
    time_point m_used{};
    std::deque<std::string> m_queue; ///< until the connection is open
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
