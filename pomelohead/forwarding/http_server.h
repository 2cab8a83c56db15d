// An HTTP/1.1 server. Each connection sends its responses in the order of the requests.
//
// A connection has a fiber, with its stack, only while a request on it is in progress, because
// callers leave many connections idle.
//
// With m_pipelining a request that arrives while an earlier one on its connection is in progress is
// started at once; responses are still sent in the order of the requests.
//
//     http_server server(io, {"127.0.1.1", 7400}, server_options{},
//                        [&](server_exchange& e) { handle(e); });
//     reason why;
//     if (!server.start(why)) ...
//     ...
//     server.announce_close();   // responses carry Connection: close
//     server.close_listener();   // no new connections; idle ones are closed
//     server.wait();             // until the last exchange has ended
#pragma once

#include "pomelohead/forwarding/connection_watch.h"
#include "pomelohead/forwarding/http_message.h"
#include "pomelohead/runtime/fiber.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace pomelohead::forwarding {

/// The address on which a server listens or to which a connection goes.
struct endpoint {
    std::string m_address;
    std::uint16_t m_port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Converts to an Asio endpoint. The address must be an IP address.
[[nodiscard]] boost::asio::ip::tcp::endpoint to_asio(const endpoint& where);

/// Limits of a server.
struct server_options {
    std::size_t m_max_connections = 4096;
    duration m_idle_limit = std::chrono::seconds(75); ///< between exchanges on one connection
    head_limits m_head;
    bool m_pipelining = false;
    /// Fibers that have to be left, for other work of the node, where a request is taken.
    std::size_t m_spare_fibers = 32;
    /// If set, a connection whose peer has left is closed without reading what it sent before, and
    /// this is called if there was anything. A peer that only shuts down its sending side counts
    /// as gone.
    std::function<void()> m_on_left_unread = {};
    /// The response to a request that is not read, as there is no memory for its fiber. Empty: the
    /// connection is closed without one.
    std::string m_unread_response = {};
};

class http_server;

namespace detail {

/// One connection of a server, with its exchanges in progress.
struct server_connection {
    explicit server_connection(boost::asio::ip::tcp::socket socket) : m_stream(std::move(socket)) {}

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    bool m_is_idle = false; ///< idle, without a fiber
    time_point m_idle_since{};
    bool m_is_reading_head = false;        ///< a fiber is reading a request's head
    bool m_ended = false;                  ///< no further response can be sent
    bool m_closed_by_peer = false;         ///< seen by a watch or by a failed write
    std::size_t m_discarded_bytes = 0;     ///< read only to be discarded
    std::uint64_t m_started_requests = 0;  ///< requests that a fiber is reading or has read
    std::uint64_t m_finished_requests = 0; ///< requests that have ended, in order of arrival
    std::size_t m_serving_fibers = 0;      ///< fibers that serve the connection
    fiber_condition m_response_turn;       ///< notified when m_finished_requests or m_ended changes
    std::map<std::uint64_t, std::function<void()>> m_on_closed; ///< by request number
};

/// Marks the connection as ended and notifies all its watches.
void end_connection(server_connection& c);

} // namespace detail

/// Calls a callback when the caller's connection ends before the response is sent; see
/// server_exchange::watch().
class exchange_watch {
public:
    exchange_watch(detail::server_connection& c, std::uint64_t number,
                   std::function<void()> on_closed, std::function<void()> on_early_data);
    exchange_watch(const exchange_watch&) = delete;
    exchange_watch& operator=(const exchange_watch&) = delete;
    ~exchange_watch();

private:
    detail::server_connection& m_connection;
    std::uint64_t m_number;
    connection_watch m_watch;
};

/// One request on a connection, with the functions to respond to it.
class server_exchange {
public:
    server_exchange(detail::server_connection& c, std::uint64_t number, request_reader& request,
                    http_server& server)
        : m_connection(c), m_stream(c.m_stream), m_number(number), m_request(request),
          m_server(server)
    {
    }

    [[nodiscard]] request_reader& request() { return m_request; }
    [[nodiscard]] boost::beast::tcp_stream& stream() { return m_stream; }

    /// Calls `on_closed` once if the connection ends before the watch does. Use it only after the
    /// complete request has been read, and destroy it before the response is written.
    [[nodiscard]] std::unique_ptr<exchange_watch> watch(std::function<void()> on_closed);

    /// Waits until the earlier requests of the connection have been responded to; the functions
    /// below do so themselves. Fails with interrupted if the connection has ended.
    bool wait_for_response_turn(reason& why);

    /// Sends a complete response. The Connection and Content-Length headers are added.
    bool respond(http::header<false> head, std::string_view body, time_point deadline, reason& why);

    /// Starts a response whose body follows in pieces; `length` is its size, if known.
    bool begin(http::header<false> head, std::optional<std::uint64_t> length,
               std::string_view first_piece, time_point deadline, reason& why);
    bool write(std::string_view piece, time_point deadline, reason& why);
    bool finish(time_point deadline, reason& why);

    /// Sends 100 Continue if the request expects it.
    bool send_continue(time_point deadline, reason& why);

    /// Closes the connection after this exchange, whether its response is complete or not.
    void close_after() { m_must_close = true; }

    [[nodiscard]] bool answered() const { return m_writer && m_writer->started(); }

    /// Whether the response has been written to its end.
    [[nodiscard]] bool is_answered() const { return m_is_answered; }

    /// Whether the caller has closed the connection, even behind bytes that have not been read.
    [[nodiscard]] bool has_caller_left() const;

    /// Whether the response is not complete though the caller has not left. For use after the last
    /// attempt to respond.
    [[nodiscard]] bool is_unanswered() const { return !m_is_answered && !has_caller_left(); }

    /// Why the last operation that failed on the caller's connection did; empty if none has.
    [[nodiscard]] const std::string& failure() const { return m_failure; }

    [[nodiscard]] bool must_close() const;

private:
    void add_connection_header(http::header<false>& head);
    bool note_write(bool succeeded, const reason& why);

    detail::server_connection& m_connection;
    boost::beast::tcp_stream& m_stream;
    std::uint64_t m_number; ///< of the request on its connection, starting at 1
    request_reader& m_request;
    http_server& m_server;
    std::optional<message_writer> m_writer;
    bool m_must_close = false;
    bool m_is_answered = false; ///< the response has been written to its end
    std::string m_failure;
};

/// Accepts connections and calls the handler for each request.
class http_server {
public:
    using handler = std::function<void(server_exchange&)>;

    /// `io` must outlive the server. The handler runs in the connection's fiber and must respond or
    /// call close_after().
    http_server(boost::asio::io_context& io, endpoint where, server_options options,
                handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Binds and starts accepting. Fails if the address cannot be bound.
    bool start(reason& why);

    /// From now on responses carry Connection: close, except where a later request on the
    /// connection has already been read.
    void announce_close() { m_closing = true; }
    [[nodiscard]] bool is_closing() const { return m_closing; }
    [[nodiscard]] bool is_listener_closed() const { return m_listener_closed; }

    /// Stops accepting connections and closes those that are between exchanges; requests that have
    /// arrived are still served. Idempotent.
    void close_listener();

    /// Waits until no connection is left. close_listener() must have been called.
    void wait();

    /// Closes all connections at once, also those with exchanges in progress.
    void abort();

    [[nodiscard]] std::size_t connections() const { return m_open.size(); }

    /// Replaces the limits; the limit for idle connections applies to all of them at once.
    void set_limits(duration idle, std::size_t max_head_bytes, duration head_time);

private:
    friend class server_exchange;
    using connection = detail::server_connection;
    using connection_list = std::list<std::shared_ptr<connection>>;

    void accept_loop();
    void admit(boost::asio::ip::tcp::socket socket);
    void accept_waiting(std::size_t limit);
    void wait_idle(connection_list::iterator position);
    void close_idle();
    void serve(connection_list::iterator position, std::uint64_t number);
    void read_ahead(connection& c, std::uint64_t number);
    std::uint64_t serve_one(connection& c, std::uint64_t number);
    bool read_head(connection& c, request_reader& request, reason& why);
    std::uint64_t finish(connection& c, std::uint64_t number, bool close);
    void linger(connection& c);
    void refuse(connection& c, const reason& why);
    void refuse_unread(connection_list::iterator position);
    void discard_until_closed(connection_list::iterator position);

    boost::asio::io_context& m_io;
    endpoint m_where;
    server_options m_options;
    handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    connection_list m_open;
    bool m_closing = false;
    bool m_listener_closed = false;
    boost::asio::steady_timer m_idle_check;
    fiber_group m_fibers;
};

} // namespace pomelohead::forwarding
