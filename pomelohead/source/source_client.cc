// Each read opens its own connection: reads are few, and a read that the service does
// not answer cannot delay another one.
#include "pomelohead/source/source_client.h"

#include "pomelohead/config/bundle.h"
#include "pomelohead/runtime/fiber.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <set>

namespace pomelohead::source {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr unsigned http_version = 11;
constexpr std::size_t max_header_bytes = 8'192;
// Bytes of a response that are kept before they are parsed: a chunk size with its extensions, or
// all trailers.
constexpr std::size_t max_buffered_bytes = 64UL * 1024UL;
constexpr const char* index_header = "X-Index";

read_result failure(reason_code code, std::string text)
{
    return {.m_status = read_status::failed,
            .m_index = 0,
            .m_bytes = {},
            .m_why = {code, std::move(text)}};
}

reason_code reason_code_for(error_code error, reason_code otherwise)
{
    if (error == beast::error::timeout) {
        return reason_code::timed_out;
    }
    if (error == asio::error::operation_aborted) {
        return reason_code::cancelled;
    }
    const bool is_too_large =
        error == http::error::body_limit || error == http::error::buffer_overflow;
    return is_too_large ? reason_code::too_large : otherwise;
}

std::optional<std::uint64_t> parse_index(std::string_view text)
{
    std::uint64_t index = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, index);
    if (error != std::errc() || stop != end || text.empty()) {
        return std::nullopt;
    }
    return index;
}

http::request<http::empty_body> make_request(const read_request& request,
                                             const std::string& address)
{
    std::string path = "/v1/values/" + request.m_key;
    if (request.m_index) {
        path += "?index=" + std::to_string(*request.m_index) +
                "&wait_ms=" + std::to_string(request.m_wait.count());
    }
    http::request<http::empty_body> message(http::verb::get, path, http_version);
    message.set(http::field::host, address);
    message.keep_alive(false);
    return message;
}

read_result parse_response(const std::string& key, http::response<http::string_body>&& response)
{
    const std::optional<std::uint64_t> index = parse_index(response[index_header]);
    switch (response.result()) {
    case http::status::ok:
        if (!index) {
            return failure(reason_code::malformed,
                           key + ": the response has no valid X-Index header");
        }
        return {read_status::value, *index, std::move(response.body()), {}};
    case http::status::not_modified:
        return {read_status::unchanged, index.value_or(0), {}, {}};
    case http::status::not_found:
        return {read_status::absent, index.value_or(0), {}, {}};
    case http::status::too_many_requests:
        return failure(reason_code::rate_limited,
                       key + ": the service rejected the read by its rate limit");
    default:
        return failure(reason_code::refused, key + ": the service returned HTTP status " +
                                                 std::to_string(response.result_int()));
    }
}

} // namespace

struct source_client::impl {
    impl(asio::io_context& io, source_options options) : m_io(io), m_options(std::move(options)) {}

    asio::io_context& m_io;
    source_options m_options;
    std::set<beast::tcp_stream*> m_open_streams; // one per read in flight
    bool m_cancelled = false;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;

    read_result exchange(beast::tcp_stream& stream, const read_request& request)
    {
        error_code address_error;
        const asio::ip::tcp::endpoint endpoint(
            asio::ip::make_address(m_options.m_address, address_error), m_options.m_port);
        if (address_error) {
            return failure(reason_code::invalid, "source address is not an IP address");
        }
        stream.expires_after(m_options.m_connect_timeout);
        const auto [connect_error] = await<error_code>(
            [&](auto handler) { stream.async_connect(endpoint, std::move(handler)); });
        if (connect_error) {
            return failure(reason_code_for(connect_error, reason_code::unreachable),
                           "cannot connect to the source: " + connect_error.message());
        }
        const auto message = make_request(request, m_options.m_address);
        stream.expires_after(m_options.m_response_timeout + request.m_wait);
        const auto [write_error, sent] = await<error_code, std::size_t>(
            [&](auto handler) { http::async_write(stream, message, std::move(handler)); });
        m_bytes_sent += sent;
        if (write_error) {
            return failure(reason_code_for(write_error, reason_code::interrupted),
                           request.m_key + ": " + write_error.message());
        }
        beast::flat_buffer buffer(max_buffered_bytes);
        http::response_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(config::max_value_bytes);
        const auto [read_error, received] = await<error_code, std::size_t>(
            [&](auto handler) { http::async_read(stream, buffer, parser, std::move(handler)); });
        m_bytes_received += received;
        if (read_error) {
            return failure(reason_code_for(read_error, reason_code::interrupted),
                           request.m_key + ": " + read_error.message());
        }
        // A truncated value would look the same.
        if (parser.need_eof()) {
            return failure(reason_code::malformed,
                           request.m_key + ": the response does not state its length");
        }
        return parse_response(request.m_key, parser.release());
    }
};

source_client::source_client(asio::io_context& io, source_options options)
    : m_impl(std::make_unique<impl>(io, std::move(options)))
{
}

source_client::~source_client() = default;

read_result source_client::read(const read_request& request)
{
    if (m_impl->m_cancelled) {
        return failure(reason_code::cancelled, "the source client was cancelled");
    }
    beast::tcp_stream stream(m_impl->m_io);
    m_impl->m_open_streams.insert(&stream);
    read_result answer = m_impl->exchange(stream, request);
    m_impl->m_open_streams.erase(&stream);
    stream.close();
    return answer;
}

void source_client::cancel()
{
    m_impl->m_cancelled = true;
    for (beast::tcp_stream* stream : m_impl->m_open_streams) {
        stream->close();
    }
}

std::uint64_t source_client::bytes_sent() const
{
    return m_impl->m_bytes_sent;
}

std::uint64_t source_client::bytes_received() const
{
    return m_impl->m_bytes_received;
}

} // namespace pomelohead::source
