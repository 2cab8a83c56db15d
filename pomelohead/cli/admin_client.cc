// Each request is a chain of asynchronous operations on one io_context, which runs
// here until all have ended; a request that ends starts the next one in line.
#include "pomelohead/cli/admin_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <memory>

namespace pomelohead::cli {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

// Bytes of an answer that are kept before they are parsed: a chunk size with its extensions, or all
// trailers.
constexpr std::size_t max_buffered_bytes = 64UL * 1024UL;

// The part of an error page that is shown.
constexpr std::size_t max_shown_bytes = 200;

reason reason_for(const error_code& error, const std::string& where)
{
    if (error == beast::error::timeout) {
        return {reason_code::timed_out, where + " gave no answer in time"};
    }
    if (error == http::error::buffer_overflow) {
        return {reason_code::too_large, where + " sent a line or trailers of more than " +
                                            std::to_string(max_buffered_bytes) + " bytes"};
    }
    if (error == http::error::body_limit) {
        return {reason_code::too_large,
                where + " sent more than " + std::to_string(max_answer_bytes) + " bytes"};
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message ||
        error == asio::error::connection_reset || error == asio::error::broken_pipe) {
        return {reason_code::interrupted, where + " closed the connection before its answer ended"};
    }
    if (error.category() == make_error_code(http::error::end_of_stream).category()) {
        return {reason_code::malformed, where + " does not answer in HTTP: " + error.message()};
    }
    return {reason_code::unreachable, where + " cannot be reached: " + error.message()};
}

class fetcher {
public:
    fetcher(const std::vector<node_address>& nodes, const std::string& path,
            std::chrono::milliseconds limit)
        : m_path(path), m_limit(limit)
    {
        for (const node_address& node : nodes) {
            m_answers.push_back({.m_node = node, .m_body = std::nullopt, .m_why = {}});
        }
    }

    std::vector<admin_answer> run()
    {
        while (m_started < std::min(max_parallel_requests, m_answers.size())) {
            start_next();
        }
        m_io.run();
        return std::move(m_answers);
    }

private:
    struct exchange {
        exchange(asio::io_context& io, admin_answer& answer) : m_stream(io), m_answer(answer)
        {
            m_parser.body_limit(max_answer_bytes);
        }

        beast::tcp_stream m_stream;
        beast::flat_buffer m_buffer{max_buffered_bytes};
        http::request<http::empty_body> m_request;
        http::response_parser<http::string_body> m_parser;
        admin_answer& m_answer;
    };
    using exchange_ptr = std::shared_ptr<exchange>;

    void start_next()
    {
        if (m_started == m_answers.size()) {
            return;
        }
        admin_answer& answer = m_answers[m_started++];
        auto e = std::make_shared<exchange>(m_io, answer);
        error_code error;
        const auto address = asio::ip::make_address(answer.m_node.m_address, error);
        if (error) {
            answer.m_why = {reason_code::invalid, answer.m_node.m_address + " is no IP address"};
            start_next();
            return;
        }
        e->m_stream.expires_after(m_limit);
        e->m_stream.async_connect(
            asio::ip::tcp::endpoint(address, answer.m_node.m_port),
            [this, e](const error_code& failed) { failed ? fail(*e, failed) : send(e); });
    }

    void send(const exchange_ptr& e)
    {
        e->m_request = {http::verb::get, m_path, 11};
        e->m_request.set(http::field::host, to_string(e->m_answer.m_node));
        e->m_request.set(http::field::connection, "close");
        http::async_write(e->m_stream, e->m_request,
                          [this, e](const error_code& failed, std::size_t) {
                              failed ? fail(*e, failed) : receive(e);
                          });
    }

    void receive(const exchange_ptr& e)
    {
        http::async_read(e->m_stream, e->m_buffer, e->m_parser,
                         [this, e](const error_code& failed, std::size_t) {
                             failed ? fail(*e, failed) : finish(*e);
                         });
    }

    void fail(exchange& e, const error_code& error)
    {
        e.m_answer.m_why = reason_for(error, to_string(e.m_answer.m_node));
        start_next();
    }

    void finish(exchange& e)
    {
        // A truncated page would look the same.
        if (e.m_parser.need_eof()) {
            e.m_answer.m_why = {reason_code::malformed, to_string(e.m_answer.m_node) +
                                                            " does not state its answer's length"};
            start_next();
            return;
        }
        http::response<http::string_body>& response = e.m_parser.get();
        if (response.result() == http::status::ok) {
            e.m_answer.m_body = std::move(response.body());
        }
        else {
            const bool is_missing = response.result() == http::status::not_found;
            e.m_answer.m_why = {is_missing ? reason_code::not_found : reason_code::refused,
                                to_string(e.m_answer.m_node) + " answered " +
                                    std::to_string(response.result_int()) + " " +
                                    response.body().substr(0, max_shown_bytes)};
        }
        start_next();
    }

    asio::io_context m_io;
    const std::string& m_path;
    std::chrono::milliseconds m_limit;
    std::vector<admin_answer> m_answers;
    std::size_t m_started = 0;
};

// Splits "[IPv6]:PORT" and "IP:PORT"; an IPv6 address alone has several colons.
std::pair<std::string, std::string> split_port(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (text.starts_with('[')) {
        const std::size_t close = text.find(']');
        if (close == std::string::npos) {
            return {text, {}};
        }
        return {text.substr(1, close - 1),
                close + 1 == text.size() ? std::string() : text.substr(close + 1)};
    }
    if (colon == std::string::npos || text.find(':') != colon) {
        return {text, {}};
    }
    return {text.substr(0, colon), text.substr(colon)};
}

} // namespace

std::optional<node_address> parse_node_address(const std::string& text, reason& why)
{
    const auto [address, port_text] = split_port(text);
    node_address node{.m_address = address};
    error_code error;
    asio::ip::make_address(address, error);
    if (error) {
        why = {reason_code::invalid, "node must be IP or IP:PORT, not '" + text + "'"};
        return std::nullopt;
    }
    if (!port_text.empty()) {
        const char* const end = port_text.data() + port_text.size();
        const auto [stop, failed] = std::from_chars(port_text.data() + 1, end, node.m_port);
        if (port_text[0] != ':' || failed != std::errc() || stop != end || node.m_port == 0) {
            why = {reason_code::invalid, "port must be from 1 to 65535 in '" + text + "'"};
            return std::nullopt;
        }
    }
    return node;
}

std::string to_string(const node_address& node)
{
    const bool is_v6 = node.m_address.find(':') != std::string::npos;
    return (is_v6 ? "[" + node.m_address + "]" : node.m_address) + ":" +
           std::to_string(node.m_port);
}

std::vector<admin_answer> fetch_all(const std::vector<node_address>& nodes, const std::string& path,
                                    std::chrono::milliseconds limit)
{
    return fetcher(nodes, path, limit).run();
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0xFU];
    }
    return encoded;
}

} // namespace pomelohead::cli
