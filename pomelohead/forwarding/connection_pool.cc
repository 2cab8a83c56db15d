#include "pomelohead/forwarding/connection_pool.h"

#include "pomelohead/telemetry/log.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <system_error>

namespace pomelohead::forwarding {
namespace {

using boost::beast::error_code;

// Below the servers' idle limit, so that this side closes first.
constexpr duration max_idle_time = std::chrono::seconds(30);

// Servers keep an idle connection open for longer than this between exchanges.
constexpr duration recent_use_window = std::chrono::seconds(1);

// How long a peer is taken to close connections early after it has done so.
constexpr duration early_close_memory = std::chrono::seconds(10);

// A request written while the peer closes the connection may or may not be read; the margin covers
// the network delay and a busy target.
constexpr duration close_margin = std::chrono::milliseconds(500);

// A host that is partitioned or has lost power sends nothing. The kernel's keepalive probes detect
// it within idle_s + probes * interval_s, and unacknowledged data within the limit of the call.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

void enable_dead_peer_detection(int socket, milliseconds max_silence)
{
    const int on = 1;
    const auto user_timeout_ms = static_cast<unsigned>(max_silence.count());
    const bool all_set = ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on) == 0 &&
                         ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_idle_s,
                                      sizeof keepalive_idle_s) == 0 &&
                         ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s,
                                      sizeof keepalive_interval_s) == 0 &&
                         ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &keepalive_probes,
                                      sizeof keepalive_probes) == 0 &&
                         ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
                                      sizeof user_timeout_ms) == 0;
    if (!all_set) {
        log_event(log_level::warning, "socket_option_refused",
                  {{"why", std::generic_category().message(errno)}});
    }
}

} // namespace

std::optional<reusable_connection> reusable_connection::after(std::unique_ptr<client_connection>& c,
                                                              const message_writer& request,
                                                              const response_reader& response)
{
    if (!c || !c->m_stream.socket().is_open() || !request.is_complete() || !response.has_head() ||
        !response.done() || !response.keep_alive()) {
        return std::nullopt;
    }
    return reusable_connection(std::move(c));
}

bool is_stale(client_connection& c)
{
    if (c.m_buffer.size() > 0) {
        return true;
    }
    char byte = 0;
    const ssize_t got =
        ::recv(c.m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

std::unique_ptr<client_connection> connect(boost::asio::io_context& io, const endpoint& where,
                                           time_point deadline, reason& why,
                                           milliseconds max_silence)
{
    auto c = std::make_unique<client_connection>(boost::asio::ip::tcp::socket(io));
    c->m_stream.expires_at(std::min(deadline, clock_type::now() + default_connect_timeout));
    const auto at = to_asio(where);
    const auto [error] =
        await<error_code>([&](auto handler) { c->m_stream.async_connect(at, std::move(handler)); });
    if (error) {
        const bool timed_out = error == boost::beast::error::timeout;
        why = {timed_out ? reason_code::timed_out : reason_code::unreachable,
               "no connection to " + where.m_address + ":" + std::to_string(where.m_port) + ": " +
                   error.message()};
        return nullptr;
    }
    c->m_stream.expires_never();
    enable_dead_peer_detection(c->m_stream.socket().native_handle(), max_silence);
    error_code ignored;
    c->m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    return c;
}

std::unique_ptr<client_connection> connection_pool::acquire(time_point deadline, reason& why,
                                                            connection_reuse reuse)
{
    const time_point now = clock_type::now();
    if (reuse == connection_reuse::unless_closed_early && now < m_closes_early_until) {
        // The new connection takes the place of an idle one at the peer.
        if (!m_idle.empty()) {
            m_idle.pop_front();
        }
        return connect(m_io, m_where, std::min(deadline, now + m_connect_timeout), why,
                       m_max_silence);
    }
    while (!m_idle.empty()) {
        std::unique_ptr<client_connection> c = std::move(m_idle.back());
        m_idle.pop_back();
        const bool is_fresh =
            c->m_idle_since >= now - max_idle_time && clock_type::now() < c->m_usable_until;
        if (is_fresh && !is_stale(*c)) {
            return c;
        }
        if (is_fresh && c->m_idle_since >= now - recent_use_window) {
            record_early_close();
        }
    }
    return connect(m_io, m_where, std::min(deadline, clock_type::now() + m_connect_timeout), why,
                   m_max_silence);
}

void connection_pool::record_early_close()
{
    m_closes_early_until = clock_type::now() + early_close_memory;
}

bool connection_pool::has_lost_all_recently_used() const
{
    const time_point recent = clock_type::now() - recent_use_window;
    std::size_t closed = 0;
    for (const auto& c : m_idle) {
        if (c->m_idle_since >= recent) {
            if (!is_stale(*c)) {
                return false;
            }
            ++closed;
        }
    }
    return closed > 0;
}

std::optional<duration> keep_alive_timeout(const http::header<false>& head)
{
    constexpr std::string_view name = "timeout=";
    const std::string_view text = head[http::field::keep_alive];
    const std::size_t at = text.find(name);
    unsigned seconds = 0;
    if (at == std::string_view::npos ||
        std::from_chars(text.data() + at + name.size(), text.data() + text.size(), seconds).ec !=
            std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

void connection_pool::release(reusable_connection reusable, std::optional<duration> idle_limit)
{
    std::unique_ptr<client_connection> c = std::move(reusable.m_connection);
    c->m_idle_since = clock_type::now();
    c->m_usable_until =
        idle_limit ? c->m_idle_since + *idle_limit - close_margin : time_point::max();
    m_idle.push_back(std::move(c));
    if (m_idle.size() > m_max_idle) {
        m_idle.pop_front();
    }
}

} // namespace pomelohead::forwarding
