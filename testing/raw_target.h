// A target that answers each request with bytes chosen by the test.
//
//     raw_target target(io, {"127.92.0.1", 7100});
//     target.m_script = [](const raw_request& r) { return raw_reply{"HTTP/1.1 200 OK\r\n..."}; };
//     ... requests ...
//     target.requests();   // in the order of their replies
#pragma once

#include "pomelohead/forwarding/http_server.h"

#include <string>
#include <vector>

namespace pomelohead::testing {

/// One request as the target received it.
struct raw_request {
    std::string m_head;           ///< request line and fields, with their line ends
    std::size_t m_connection = 0; ///< which connection of the target it came on, from 1
    std::size_t m_body_bytes = 0; ///< read before the reply

    /// A field's value; empty where there is none.
    [[nodiscard]] std::string field(std::string_view name) const;
};

struct raw_reply {
    std::string m_bytes;
    bool m_close = false;        ///< ends the connection in order after the bytes
    bool m_reset = false;        ///< resets it instead
    duration m_delay{};          ///< before the bytes
    bool m_before_body = false;  ///< sent without reading the request's body
    std::string m_without_end{}; ///< written after m_bytes until the peer closes the connection
    duration m_pause{};          ///< between two repetitions of it, or before that body is read
    /// Ends the connection after so many; only bounds a test that would not end otherwise.
    std::size_t m_max_repetitions = 5'000;
    bool m_leaves_body = false; ///< does not read the body that m_before_body leaves
    bool m_half_close = false;  ///< ends its own side in order after the bytes, and still reads
};

/// A listener whose connections are served one request at a time.
class raw_target {
public:
    using script_fn = std::function<raw_reply(const raw_request&)>;

    raw_target(boost::asio::io_context& io, const forwarding::endpoint& where);
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;
    ~raw_target();

    /// Lets the sockets between a node and the target take less than a piece of a body, on
    /// connections that are opened from now on.
    void keep_buffers_small();

    script_fn m_script;
    [[nodiscard]] const std::vector<raw_request>& requests() const { return m_requests; }
    [[nodiscard]] std::size_t most_at_once() const { return m_most_at_once; }
    /// How often m_without_end of any reply has been written.
    [[nodiscard]] std::size_t repetitions() const { return m_repetitions; }

private:
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    void accept();
    void serve(const socket_ptr& socket, std::size_t number);
    bool serve_one(boost::asio::ip::tcp::socket& socket, std::size_t number, std::string& buffer);

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<socket_ptr> m_sockets;
    std::vector<raw_request> m_requests;
    std::size_t m_concurrent_requests = 0;
    std::size_t m_most_at_once = 0;
    std::size_t m_repetitions = 0;
    bool m_stopped = false;
    fiber_group m_fibers;
};

} // namespace pomelohead::testing
