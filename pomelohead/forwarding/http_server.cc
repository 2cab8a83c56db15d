#include "pomelohead/forwarding/http_server.h"

#include "pomelohead/telemetry/log.h"

#include <boost/asio/ip/address.hpp>

namespace pomelohead::forwarding {
namespace {

using boost::beast::error_code;

constexpr duration answer_limit = std::chrono::seconds(10);
constexpr duration accept_pause = std::chrono::milliseconds(50);
constexpr duration linger_limit = std::chrono::seconds(1);
constexpr std::size_t linger_bytes = 16UL * 1024UL * 1024UL;
constexpr int accept_backlog = 1024;

unsigned status_of(const reason& why)
{
    switch (why.m_code) {
    case reason_code::too_large:
        return 431;
    case reason_code::timed_out:
        return 408;
    default:
        return 400;
    }
}

} // namespace

boost::asio::ip::tcp::endpoint to_asio(const endpoint& where)
{
    error_code ignored;
    return {boost::asio::ip::make_address(where.m_address, ignored), where.m_port};
}

bool server_exchange::must_close() const
{
    return m_close || m_server.closing() || !m_request.keep_alive() || !m_request.done();
}

void server_exchange::add_connection_field(http::header<false>& head)
{
    if (must_close()) {
        m_close = true;
        head.set(http::field::connection, "close");
    }
}

bool server_exchange::respond(http::header<false> head, std::string_view body, time_point deadline,
                              reason& why)
{
    add_connection_field(head);
    const bool no_body = m_request.head().method() == http::verb::head ||
                         head.result_int() == 204 || head.result_int() == 304;
    if (!no_body || !body.empty()) {
        head.set(http::field::content_length, std::to_string(body.size()));
    }
    m_writer.emplace(m_stream);
    const bool good = m_writer->write_head(head, body_framing::length,
                                           no_body ? std::string_view{} : body, deadline, why);
    m_close = m_close || !good;
    return good;
}

bool server_exchange::begin(http::header<false> head, std::optional<std::uint64_t> length,
                            std::string_view first_piece, time_point deadline, reason& why)
{
    add_connection_field(head);
    if (length) {
        head.set(http::field::content_length, std::to_string(*length));
    }
    m_writer.emplace(m_stream);
    const body_framing framing = length ? body_framing::length : body_framing::chunked;
    const bool good = m_writer->write_head(head, framing, first_piece, deadline, why);
    m_close = m_close || !good;
    return good;
}

bool server_exchange::write(std::string_view piece, time_point deadline, reason& why)
{
    const bool good = m_writer->write_body(piece, deadline, why);
    m_close = m_close || !good;
    return good;
}

bool server_exchange::finish(time_point deadline, reason& why)
{
    const bool good = m_writer->finish(deadline, why);
    m_close = m_close || !good;
    return good;
}

bool server_exchange::send_continue(time_point deadline, reason& why)
{
    if (!boost::beast::iequals(m_request.head()[http::field::expect], "100-continue")) {
        return true;
    }
    http::header<false> interim;
    interim.result(100);
    message_writer writer(m_stream);
    const bool good = writer.write_head(interim, body_framing::none, {}, deadline, why);
    m_close = m_close || !good;
    return good;
}

http_server::http_server(boost::asio::io_context& io, endpoint where, server_options options,
                         handler on_request)
    : m_io(io), m_where(std::move(where)), m_options(options), m_handler(std::move(on_request)),
      m_acceptor(io)
{
}

http_server::~http_server()
{
    close_listener();
    abort();
    wait();
}

bool http_server::start(reason& why)
{
    const auto at = to_asio(m_where);
    error_code error;
    m_acceptor.open(at.protocol(), error);
    if (!error) {
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(at, error);
    }
    if (!error) {
        m_acceptor.listen(accept_backlog, error);
    }
    if (error) {
        why = {reason_code::unreachable, "cannot listen on " + m_where.m_address + ":" +
                                             std::to_string(m_where.m_port) + ": " +
                                             error.message()};
        return false;
    }
    m_fibers.spawn([this] { accept_loop(); });
    return true;
}

void http_server::accept_loop()
{
    while (!m_listener_closed) {
        if (m_open.size() >= m_options.m_max_connections) {
            sleep_for(accept_pause);
            continue;
        }
        boost::asio::ip::tcp::socket socket(m_io);
        const auto [error] = await<error_code>(
            [&](auto handler) { m_acceptor.async_accept(socket, std::move(handler)); });
        if (m_listener_closed) {
            return;
        }
        if (error) {
            sleep_for(accept_pause);
            continue;
        }
        error_code ignored;
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        m_open.emplace_back(std::move(socket));
        m_fibers.spawn([this, at = std::prev(m_open.end())] { serve(at); });
    }
}

void http_server::serve(connection_list::iterator at)
{
    while (serve_one(*at)) {
    }
    linger(*at);
    m_open.erase(at);
}

// Closing with unread bytes would reset the connection, and the other side might
// lose the answer that it has not read yet (RFC 9112, section 9.6).
void http_server::linger(connection& c)
{
    error_code error;
    c.m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    c.m_stream.expires_after(linger_limit);
    std::size_t left = linger_bytes;
    std::array<char, 4096> ignored{};
    while (!error && left > 0 && !m_listener_closed) {
        std::size_t size = 0;
        std::tie(error, size) = await<error_code, std::size_t>([&](auto handler) {
            c.m_stream.async_read_some(boost::asio::buffer(ignored), std::move(handler));
        });
        left -= std::min(left, size);
    }
}

bool http_server::serve_one(connection& c)
{
    request_reader request(c.m_stream, c.m_buffer);
    head_limits limits = m_options.m_head;
    limits.m_first_byte = clock_type::now() + m_options.m_idle_limit;
    reason why;
    const bool good = request.read_head(limits, why);
    c.m_idle = false;
    if (!good) {
        refuse(c, why);
        return false;
    }
    server_exchange exchange(c.m_stream, request, *this);
    m_handler(exchange);
    c.m_idle = true;
    return !exchange.must_close() && !m_listener_closed;
}

void http_server::refuse(connection& c, const reason& why)
{
    if (why.m_code == reason_code::cancelled || why.m_code == reason_code::interrupted) {
        return;
    }
    if (why.m_code == reason_code::timed_out && c.m_buffer.size() == 0) {
        return;
    }
    log_event(log_level::info, "request_refused",
              {{"code", to_string(why.m_code)}, {"why", why.m_text}});
    http::header<false> head;
    head.result(status_of(why));
    head.set("Pomelohead-Outcome", "not-run");
    head.set("Pomelohead-Reason", why.m_text);
    head.set(http::field::connection, "close");
    head.set(http::field::content_length, "0");
    message_writer writer(c.m_stream);
    reason ignored;
    writer.write_head(head, body_framing::length, {}, clock_type::now() + answer_limit, ignored);
}

void http_server::close_listener()
{
    if (m_listener_closed) {
        return;
    }
    m_listener_closed = true;
    m_closing = true;
    error_code ignored;
    m_acceptor.close(ignored);
    for (connection& c : m_open) {
        // A request whose first bytes are here is still served.
        if (c.m_idle && c.m_buffer.size() == 0) {
            c.m_stream.cancel();
        }
    }
}

void http_server::abort()
{
    for (connection& c : m_open) {
        c.m_stream.close();
    }
}

} // namespace pomelohead::forwarding
