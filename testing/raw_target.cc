#include "testing/raw_target.h"

#include <boost/asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>

namespace pomelohead::testing {
namespace {

using boost::system::error_code;

// Reads more bytes into `buffer`; false where the connection has ended.
bool read_more(boost::asio::ip::tcp::socket& socket, std::string& buffer)
{
    std::array<char, 65536> piece{};
    const auto [error, size] = await<error_code, std::size_t>([&](auto handler) {
        socket.async_read_some(boost::asio::buffer(piece), std::move(handler));
    });
    buffer.append(piece.data(), size);
    return !error;
}

} // namespace

std::string raw_request::field(std::string_view name) const
{
    const std::string start = "\r\n" + std::string(name) + ": ";
    const std::size_t at = m_head.find(start);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + start.size();
    return m_head.substr(begin, m_head.find("\r\n", begin) - begin);
}

raw_target::raw_target(boost::asio::io_context& io, const forwarding::endpoint& where)
    : m_io(io), m_acceptor(io, forwarding::to_asio(where))
{
    m_fibers.spawn([this] { accept(); });
}

raw_target::~raw_target()
{
    m_stopped = true;
    error_code ignored;
    m_acceptor.close(ignored);
    for (const socket_ptr& socket : m_sockets) {
        socket->close(ignored);
    }
    m_fibers.wait();
}

void raw_target::keep_buffers_small()
{
    constexpr int max_receive_bytes = 4096;
    constexpr int max_segment_bytes = 536;
    using segment_size = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(max_receive_bytes));
    m_acceptor.set_option(segment_size(max_segment_bytes));
}

void raw_target::accept()
{
    while (!m_stopped) {
        auto socket = std::make_shared<boost::asio::ip::tcp::socket>(m_io);
        const auto [error] = await<error_code>(
            [&](auto handler) { m_acceptor.async_accept(*socket, std::move(handler)); });
        if (error) {
            return;
        }
        m_sockets.push_back(socket);
        m_fibers.spawn([this, socket, number = m_sockets.size()] { serve(socket, number); });
    }
}

void raw_target::serve(const socket_ptr& socket, std::size_t number)
{
    std::string buffer;
    while (serve_one(*socket, number, buffer)) {
    }
    error_code ignored;
    socket->close(ignored);
}

bool raw_target::serve_one(boost::asio::ip::tcp::socket& socket, std::size_t number,
                           std::string& buffer)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!read_more(socket, buffer)) {
            return false;
        }
    }
    raw_request request{buffer.substr(0, end + 2), number};
    buffer.erase(0, end + 4);
    const std::string length = request.field("Content-Length");
    const std::size_t content_length = length.empty() ? 0 : std::stoul(length);
    m_most_at_once = std::max(m_most_at_once, ++m_concurrent_requests);
    raw_reply reply = m_script(request);
    const auto read_body = [&] {
        while (buffer.size() < content_length && read_more(socket, buffer)) {
        }
        request.m_body_bytes = std::min(buffer.size(), content_length);
        buffer.erase(0, request.m_body_bytes);
    };
    if (!reply.m_before_body) {
        read_body();
    }
    if (reply.m_delay > duration::zero()) {
        sleep_for(reply.m_delay);
    }
    m_requests.push_back(request);
    --m_concurrent_requests;
    const auto write = [&socket](const std::string& bytes) {
        return std::get<0>(await<error_code, std::size_t>([&](auto handler) {
            boost::asio::async_write(socket, boost::asio::buffer(bytes), std::move(handler));
        }));
    };
    const error_code error = write(reply.m_bytes);
    if (!error && !reply.m_without_end.empty()) {
        for (std::size_t i = 0; i < reply.m_max_repetitions; ++i) {
            if (write(reply.m_without_end)) {
                break;
            }
            ++m_repetitions;
            if (reply.m_pause > duration::zero()) {
                sleep_for(reply.m_pause);
            }
        }
        return false;
    }
    if (reply.m_reset) {
        error_code ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    if (reply.m_half_close) {
        error_code ignored;
        socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
    }
    if (reply.m_before_body && !error) {
        sleep_for(reply.m_pause);
        if (!reply.m_leaves_body) {
            read_body();
        }
    }
    return !error && !reply.m_close && !reply.m_reset && !reply.m_half_close;
}

} // namespace pomelohead::testing
