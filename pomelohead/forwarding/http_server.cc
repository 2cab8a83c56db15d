#include "pomelohead/forwarding/http_server.h"

#include "pomelohead/forwarding/socket_state.h"
#include "pomelohead/runtime/guarded_call.h"
#include "pomelohead/telemetry/log.h"

#include <boost/asio/ip/address.hpp>

#include <sys/socket.h>

namespace pomelohead::forwarding {
namespace {

using boost::beast::error_code;

constexpr duration response_write_timeout = std::chrono::seconds(10);
constexpr duration accept_retry_delay = std::chrono::milliseconds(50);
constexpr duration linger_timeout = std::chrono::seconds(1);
constexpr std::size_t max_linger_bytes = 16UL * 1024UL * 1024UL;
constexpr int accept_backlog = 1024;

// Connections accepted at one go. The event loop comes back to the listener once for each round of
// the requests in progress, which takes long on a busy host.
constexpr std::size_t max_accepts_per_turn = 64;

// Idle limits are in seconds, and a connection may stay open a little longer.
constexpr duration idle_check_period = std::chrono::seconds(1);

// The most requests of one connection in progress at the same time. Beyond it the caller waits, as
// without pipelining.
constexpr std::uint64_t max_pipelined = 16;

// Whether the peer has sent bytes that have not been read.
bool has_bytes(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool is_safe(http::verb method)
{
    return method == http::verb::get || method == http::verb::head;
}

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

namespace detail {

void end_connection(server_connection& c)
{
    c.m_ended = true;
    // The callbacks may end watches.
    const auto callbacks = std::exchange(c.m_on_closed, {});
    for (const auto& [request, callback] : callbacks) {
        callback();
    }
    c.m_response_turn.notify();
}

} // namespace detail

exchange_watch::exchange_watch(detail::server_connection& c, std::uint64_t number,
                               std::function<void()> on_closed, std::function<void()> on_early_data)
    : m_connection(c), m_number(number), m_watch(
                                             c.m_stream,
                                             [&c] {
                                                 c.m_closed_by_peer = true;
                                                 detail::end_connection(c);
                                             },
                                             std::move(on_early_data))
{
    c.m_on_closed[number] = std::move(on_closed);
}

exchange_watch::~exchange_watch()
{
    m_connection.m_on_closed.erase(m_number);
}

std::unique_ptr<exchange_watch> server_exchange::watch(std::function<void()> on_closed)
{
    std::function<void()> on_early_data;
    if (m_server.m_options.m_pipelining && !must_close()) {
        on_early_data = [this] { m_server.read_ahead(m_connection, m_number); };
        if (m_connection.m_buffer.size() > 0) {
            on_early_data(); // the next request arrived together with this one
        }
    }
    return std::make_unique<exchange_watch>(m_connection, m_number, std::move(on_closed),
                                            std::move(on_early_data));
}

bool server_exchange::wait_for_response_turn(reason& why)
{
    m_connection.m_response_turn.wait([this] {
        return m_connection.m_ended || m_connection.m_finished_requests + 1 >= m_number;
    });
    if (m_connection.m_ended) {
        why = {reason_code::interrupted, "the connection has ended"};
    }
    else if (!m_stream.socket().is_open()) {
        why = {reason_code::cancelled, "this side has closed the connection"};
    }
    else {
        return true;
    }
    m_failure = why.m_text;
    m_must_close = true;
    return false;
}

bool server_exchange::has_caller_left() const
{
    return m_connection.m_closed_by_peer ||
           (m_stream.socket().is_open() && has_peer_left(m_stream));
}

bool server_exchange::note_write(bool succeeded, const reason& why)
{
    if (!succeeded) {
        m_must_close = true;
        m_failure = why.m_text;
        m_connection.m_closed_by_peer = m_connection.m_closed_by_peer ||
                                        why.m_code == reason_code::interrupted ||
                                        why.m_code == reason_code::unresponsive;
    }
    return succeeded;
}

bool server_exchange::must_close() const
{
    // A later request that has been read must be responded to as well.
    const bool is_last = m_connection.m_started_requests == m_number;
    return m_must_close || (m_server.is_closing() && is_last) || !m_request.keep_alive() ||
           !m_request.done();
}

void server_exchange::add_connection_header(http::header<false>& head)
{
    if (must_close()) {
        m_must_close = true;
        head.set(http::field::connection, "close");
    }
}

bool server_exchange::respond(http::header<false> head, std::string_view body, time_point deadline,
                              reason& why)
{
    if (!wait_for_response_turn(why)) {
        return false;
    }
    add_connection_header(head);
    const bool no_body = m_request.head().method() == http::verb::head ||
                         head.result_int() == 204 || head.result_int() == 304;
    const message_framing framing =
        no_body && body.empty() ? message_framing::none() : message_framing::of_length(body.size());
    m_writer.emplace(m_stream);
    m_is_answered = note_write(
        m_writer->write_head(head, framing, no_body ? std::string_view{} : body, deadline, why),
        why);
    return m_is_answered;
}

bool server_exchange::begin(http::header<false> head, std::optional<std::uint64_t> length,
                            std::string_view first_piece, time_point deadline, reason& why)
{
    if (!wait_for_response_turn(why)) {
        return false;
    }
    add_connection_header(head);
    m_writer.emplace(m_stream);
    const message_framing framing =
        length ? message_framing::of_length(*length) : message_framing::chunked();
    return note_write(m_writer->write_head(head, framing, first_piece, deadline, why), why);
}

bool server_exchange::write(std::string_view piece, time_point deadline, reason& why)
{
    return note_write(m_writer->write_body(piece, deadline, why), why);
}

bool server_exchange::finish(time_point deadline, reason& why)
{
    m_is_answered = note_write(m_writer->finish(deadline, why), why);
    return m_is_answered;
}

bool server_exchange::send_continue(time_point deadline, reason& why)
{
    if (!boost::beast::iequals(m_request.head()[http::field::expect], "100-continue")) {
        return true;
    }
    http::header<false> interim;
    interim.result(100);
    message_writer writer(m_stream);
    return note_write(writer.write_head(interim, message_framing::none(), {}, deadline, why), why);
}

http_server::http_server(boost::asio::io_context& io, endpoint where, server_options options,
                         handler on_request)
    : m_io(io), m_where(std::move(where)), m_options(std::move(options)),
      m_handler(std::move(on_request)), m_acceptor(io), m_idle_check(io)
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
    close_idle();
    return true;
}

void http_server::accept_loop()
{
    while (!m_listener_closed) {
        if (m_open.size() >= m_options.m_max_connections) {
            sleep_for(accept_retry_delay);
            continue;
        }
        boost::asio::ip::tcp::socket socket(m_io);
        const auto [error] = await<error_code>(
            [&](auto handler) { m_acceptor.async_accept(socket, std::move(handler)); });
        if (m_listener_closed && (error || !has_bytes(socket))) {
            return;
        }
        const bool is_admitted = !error && guarded_call("accept_failed", [&] {
            admit(std::move(socket));
            accept_waiting(max_accepts_per_turn);
        });
        if (!is_admitted) {
            sleep_for(accept_retry_delay);
        }
    }
}

void http_server::admit(boost::asio::ip::tcp::socket socket)
{
    error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_open.push_back(std::make_shared<connection>(std::move(socket)));
    wait_idle(std::prev(m_open.end()));
}

// Callers whose connections wait in the system's queue may have sent their requests.
void http_server::accept_waiting(std::size_t limit)
{
    error_code error;
    m_acceptor.non_blocking(true, error);
    for (std::size_t i = 0; !error && i < limit && m_open.size() < m_options.m_max_connections;
         ++i) {
        boost::asio::ip::tcp::socket socket(m_io);
        m_acceptor.accept(socket, error);
        if (!error) {
            admit(std::move(socket));
        }
    }
}

// Reads the next request after request `number` while that one is in progress. A server that closes
// its connections takes none: the response to `number` closes this one, and callers know that what
// they sent behind it has not been read.
void http_server::read_ahead(detail::server_connection& c, std::uint64_t number)
{
    if (m_closing || c.m_started_requests != number || c.m_ended ||
        number - c.m_finished_requests > max_pipelined ||
        !can_start_fibers(m_options.m_spare_fibers)) {
        return;
    }
    const auto position =
        std::ranges::find_if(m_open, [&c](const auto& o) { return o.get() == &c; });
    ++c.m_serving_fibers;
    m_fibers.spawn([this, position, next = ++c.m_started_requests] { serve(position, next); });
}

// Waits for the next request without a fiber.
void http_server::wait_idle(connection_list::iterator position)
{
    connection& c = **position;
    c.m_is_idle = true;
    c.m_idle_since = clock_type::now();
    c.m_buffer = {};
    c.m_stream.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [this, position, alive = std::weak_ptr<connection>(*position)](error_code error) {
            if (alive.expired()) {
                return; // closed while idle; the server may be destroyed as well
            }
            connection& woken = **position;
            woken.m_is_idle = false;
            // A busy host finds requests here whose callers have given up.
            const bool is_left =
                !error && m_options.m_on_left_unread && has_peer_left(woken.m_stream);
            if (is_left && has_bytes(woken.m_stream.socket())) {
                m_options.m_on_left_unread();
            }
            if (error || is_left) {
                m_open.erase(position);
                return;
            }
            if (!can_start_fibers(m_options.m_spare_fibers)) {
                // Nothing of the request has been read, so its caller may send it again.
                log_request(log_level::warning, "connection_closed",
                            {{"why", "no memory for the fiber of a request"}});
                refuse_unread(position);
                return;
            }
            ++woken.m_serving_fibers;
            m_fibers.spawn(
                [this, position, next = ++woken.m_started_requests] { serve(position, next); });
        });
}

// Responds without a fiber. What is written has to be no more than the socket takes at once.
void http_server::refuse_unread(connection_list::iterator position)
{
    connection& c = **position;
    const std::string& response = m_options.m_unread_response;
    if (response.empty()) {
        m_open.erase(position);
        return;
    }
    error_code error;
    c.m_stream.socket().non_blocking(true, error);
    const std::size_t written =
        c.m_stream.socket().write_some(boost::asio::buffer(response), error);
    c.m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    if (error || written < response.size()) {
        m_open.erase(position);
        return;
    }
    c.m_stream.expires_after(linger_timeout);
    discard_until_closed(position);
}

// As linger() does, without a fiber.
void http_server::discard_until_closed(connection_list::iterator position)
{
    constexpr std::size_t bytes_per_read = 4096;
    connection& c = **position;
    const auto on_read = [this, position, alive = std::weak_ptr<connection>(*position)](
                             error_code error, std::size_t size) {
        if (alive.expired()) {
            return; // closed; the server may be destroyed as well
        }
        (*position)->m_discarded_bytes += size;
        if (error || (*position)->m_discarded_bytes > max_linger_bytes) {
            m_open.erase(position);
            return;
        }
        discard_until_closed(position);
    };
    if (!guarded_call("discard_failed", [&] {
            c.m_stream.async_read_some(c.m_buffer.prepare(bytes_per_read), on_read);
        })) {
        m_open.erase(position);
    }
}

// Periodically closes connections that have been idle for longer than the limit.
void http_server::close_idle()
{
    const time_point oldest = clock_type::now() - m_options.m_idle_limit;
    std::erase_if(m_open, [oldest](const auto& c) {
        return c->m_is_idle && c->m_idle_since < oldest && !has_bytes(c->m_stream.socket());
    });
    m_idle_check.expires_after(idle_check_period);
    m_idle_check.async_wait([this](error_code error) {
        if (!error) {
            close_idle();
        }
    });
}

void http_server::serve(connection_list::iterator position, std::uint64_t number)
{
    const std::shared_ptr<connection> c = *position;
    while (number != 0) {
        std::uint64_t next = 0;
        if (!guarded_call("request_failed", [&] { next = serve_one(*c, number); })) {
            detail::end_connection(*c);
        }
        number = next;
    }
    if (--c->m_serving_fibers > 0) {
        return;
    }
    if (!c->m_ended) {
        wait_idle(position);
        return;
    }
    linger(*c);
    m_open.erase(position);
}

// Closing with unread bytes would reset the connection, and the peer might lose the response before
// reading it (RFC 9112, section 9.6).
void http_server::linger(connection& c)
{
    error_code error;
    c.m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    c.m_stream.expires_after(linger_timeout);
    std::size_t remaining = max_linger_bytes;
    std::array<char, 4096> ignored{};
    while (!error && remaining > 0) {
        std::size_t size = 0;
        std::tie(error, size) = await<error_code, std::size_t>([&](auto handler) {
            c.m_stream.async_read_some(boost::asio::buffer(ignored), std::move(handler));
        });
        remaining -= std::min(remaining, size);
    }
}

bool http_server::read_head(connection& c, request_reader& request, reason& why)
{
    head_limits limits = m_options.m_head;
    limits.m_first_byte = clock_type::now() + m_options.m_idle_limit;
    c.m_is_reading_head = true;
    const bool succeeded = request.read_head(limits, why);
    c.m_is_reading_head = false;
    return succeeded;
}

// Returns the number of the request to serve next, or 0 if this fiber has none to serve.
std::uint64_t http_server::serve_one(connection& c, std::uint64_t number)
{
    request_reader request(c.m_stream, c.m_buffer);
    server_exchange exchange(c, number, request, *this);
    reason why;
    if (!read_head(c, request, why)) {
        const bool is_disconnected = why.m_code == reason_code::cancelled ||
                                     why.m_code == reason_code::interrupted ||
                                     why.m_code == reason_code::unresponsive;
        if (!is_disconnected && exchange.wait_for_response_turn(why)) {
            refuse(c, why);
        }
        detail::end_connection(c);
        return 0;
    }
    // A request whose method is not safe is not started while an earlier response may still close
    // the connection: the caller would then send it again.
    const bool is_ready = is_safe(request.head().method()) || exchange.wait_for_response_turn(why);
    if (is_ready && !guarded_call("request_failed", [&] { m_handler(exchange); })) {
        exchange.close_after();
        if (!exchange.answered()) {
            http::header<false> head;
            head.result(http::status::internal_server_error);
            head.set("Pomelohead-Outcome", "unknown");
            exchange.respond(head, {}, clock_type::now() + response_write_timeout, why);
        }
    }
    return finish(c, number, !is_ready || !exchange.is_answered() || exchange.must_close());
}

std::uint64_t http_server::finish(connection& c, std::uint64_t number, bool close)
{
    // Responses may end out of order only if the connection has ended.
    c.m_finished_requests = std::max(c.m_finished_requests, number);
    const bool is_read_ahead = c.m_started_requests != number;
    const bool is_idle = !is_read_ahead || (c.m_is_reading_head && c.m_buffer.size() == 0);
    if (close || (m_listener_closed && is_idle)) {
        detail::end_connection(c);
        if (c.m_is_reading_head) {
            c.m_stream.cancel();
        }
        return 0;
    }
    c.m_response_turn.notify();
    const bool is_next_here = c.m_buffer.size() > 0;
    return !is_read_ahead && is_next_here ? ++c.m_started_requests : 0;
}

void http_server::refuse(connection& c, const reason& why)
{
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
    message_writer writer(c.m_stream);
    reason ignored;
    writer.write_head(head, message_framing::of_length(0), {},
                      clock_type::now() + response_write_timeout, ignored);
}

void http_server::set_limits(duration idle, std::size_t max_head_bytes, duration head_time)
{
    m_options.m_idle_limit = idle;
    m_options.m_head.m_max_bytes = max_head_bytes;
    m_options.m_head.m_rest = head_time;
}

void http_server::close_listener()
{
    if (m_listener_closed) {
        return;
    }
    m_listener_closed = true;
    m_closing = true;
    accept_waiting(m_options.m_max_connections);
    error_code ignored;
    m_acceptor.close(ignored);
    m_idle_check.cancel();
    // A request whose first bytes have arrived is still served.
    std::erase_if(m_open,
                  [](const auto& c) { return c->m_is_idle && !has_bytes(c->m_stream.socket()); });
    for (const auto& c : m_open) {
        const bool is_idle =
            c->m_is_reading_head && c->m_started_requests == c->m_finished_requests + 1;
        if (is_idle && c->m_buffer.size() == 0) {
            c->m_stream.cancel();
        }
    }
}

void http_server::wait()
{
    constexpr duration step = std::chrono::milliseconds(1);
    m_fibers.wait();
    // A connection that was not closed as idle has unread bytes, and a fiber is about to read them.
    while (!m_open.empty()) {
        sleep_for(step);
        m_fibers.wait();
    }
}

void http_server::abort()
{
    std::erase_if(m_open, [](const auto& c) { return c->m_is_idle; });
    // Watches don't report a connection that is closed on this side.
    const connection_list open = m_open;
    for (const auto& c : open) {
        c->m_stream.close();
        detail::end_connection(*c);
    }
}

} // namespace pomelohead::forwarding
