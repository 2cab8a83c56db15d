// Heads are read completely into the buffer before Beast parses them, so that their raw form can be
// checked: request smuggling (RFC 9112, section 11.2) uses forms that a parser normalises.
#include "pomelohead/forwarding/http_message.h"

#include "pomelohead/runtime/fiber.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <vector>

namespace pomelohead::forwarding {
namespace {

using boost::beast::error_code;

constexpr std::size_t read_chunk_bytes = 4096;

// Bytes per read of a body that does not state its length.
constexpr std::size_t unknown_length_read_bytes = 8192;

bool fail(reason& why, reason_code code, std::string text)
{
    why = {code, std::move(text)};
    return false;
}

reason to_reason(const error_code& error)
{
    if (error == boost::beast::error::timeout) {
        return {reason_code::timed_out, "no progress before the time limit"};
    }
    if (error == boost::asio::error::operation_aborted) {
        return {reason_code::cancelled, "the exchange was cancelled"};
    }
    if (error.category() == http::make_error_code(http::error::end_of_stream).category() &&
        error != http::error::partial_message && error != http::error::end_of_stream) {
        return {reason_code::malformed, error.message()};
    }
    // The kernel's answer to TCP_USER_TIMEOUT and to keepalive probes without a response.
    const bool is_silent = error == boost::asio::error::timed_out;
    return {is_silent ? reason_code::unresponsive : reason_code::interrupted,
            "connection lost: " + error.message()};
}

// Like await() for one operation of `stream`, but fails with a time-out at `deadline`. Beast's own
// time limit would close the socket, and the reason could not be sent to the peer.
template <class Start>
std::pair<error_code, std::size_t> await_until(boost::beast::tcp_stream& stream,
                                               time_point deadline, Start&& start)
{
    struct limit {
        explicit limit(const boost::beast::tcp_stream::executor_type& executor) : m_timer(executor)
        {
        }
        boost::asio::steady_timer m_timer;
        bool m_done = false;
        bool m_expired = false;
    };
    const auto state = std::make_shared<limit>(stream.get_executor());
    if (deadline != time_point::max()) {
        state->m_timer.expires_at(deadline);
        state->m_timer.async_wait([state, &stream](error_code error) {
            if (!error && !state->m_done) {
                state->m_expired = true;
                stream.cancel();
            }
        });
    }
    auto [error, size] = await<error_code, std::size_t>(std::forward<Start>(start));
    state->m_done = true;
    state->m_timer.cancel();
    if (error && state->m_expired) {
        error = boost::beast::error::timeout;
    }
    return {error, size};
}

std::size_t find_head_end(std::string_view bytes)
{
    const std::size_t at = bytes.find("\r\n\r\n");
    return at == std::string_view::npos ? 0 : at + 4;
}

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return boost::beast::iequals(a, b);
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Calls visit(name, value) for each header line; returns false if a line is folded or has no valid
// name.
template <class Visit>
bool for_each_field(std::string_view head, Visit visit)
{
    std::size_t at = head.find("\r\n") + 2;
    while (at + 2 < head.size()) {
        const std::size_t end = head.find("\r\n", at);
        const std::string_view line = head.substr(at, end - at);
        const std::size_t colon = line.find(':');
        if (line.front() == ' ' || line.front() == '\t' || colon == std::string_view::npos ||
            colon == 0 || line[colon - 1] == ' ' || line[colon - 1] == '\t' ||
            line.find_first_of("\r\n") != std::string_view::npos ||
            line.find('\0') != std::string_view::npos) {
            return false;
        }
        visit(line.substr(0, colon), trim(line.substr(colon + 1)));
        at = end + 2;
    }
    return true;
}

} // namespace

template <bool IsRequest>
message_reader<IsRequest>::message_reader(boost::beast::tcp_stream& stream,
                                          boost::beast::flat_buffer& buffer)
    : m_stream(stream), m_buffer(buffer)
{
}

template <bool IsRequest>
bool message_reader<IsRequest>::buffer_head(const head_limits& limits, std::size_t& head_bytes,
                                            reason& why)
{
    bool has_first_byte = m_buffer.size() > 0;
    time_point deadline = limits.m_first_byte;
    if (has_first_byte) {
        deadline = std::min(deadline, clock_type::now() + limits.m_rest);
    }
    while (true) {
        const auto data = m_buffer.cdata();
        const std::string_view bytes(static_cast<const char*>(data.data()), data.size());
        head_bytes = find_head_end(bytes);
        if (head_bytes > limits.m_max_bytes ||
            (head_bytes == 0 && bytes.size() > limits.m_max_bytes)) {
            return fail(why, reason_code::too_large,
                        "head exceeds " + std::to_string(limits.m_max_bytes) + " bytes");
        }
        if (head_bytes > 0) {
            return true;
        }
        const auto space = m_buffer.prepare(read_chunk_bytes);
        const auto [error, size] = await_until(m_stream, deadline, [&](auto handler) {
            m_stream.async_read_some(space, std::move(handler));
        });
        if (error) {
            why = to_reason(error);
            if (!has_first_byte && why.m_code == reason_code::interrupted) {
                why.m_code = reason_code::cancelled;
            }
            return false;
        }
        m_buffer.commit(size);
        if (!has_first_byte) {
            has_first_byte = true;
            deadline = std::min(limits.m_first_byte, clock_type::now() + limits.m_rest);
        }
    }
}

// A time limit cancels an operation that waits. None does where the next bytes are always there.
template <bool IsRequest>
bool message_reader<IsRequest>::account_for_late_bytes(std::size_t bytes, time_point deadline,
                                                       reason& why)
{
    if (clock_type::now() <= deadline) {
        return true;
    }
    m_late_bytes += bytes;
    return m_late_bytes <= max_late_bytes ||
           fail(why, reason_code::timed_out, "the message goes on after the time limit");
}

template <bool IsRequest>
bool message_reader<IsRequest>::check_framing(std::string_view head, reason& why) const
{
    int lengths = 0;
    int encodings = 0;
    bool bad_value = false;
    bool too_large = false;
    const bool well_formed =
        for_each_field(head, [&](std::string_view name, std::string_view value) {
            too_large = too_large || std::max(name.size(), value.size()) > max_field_bytes;
            if (equals_ignoring_case(name, "Content-Length")) {
                ++lengths;
                bad_value =
                    bad_value || value.empty() || value.size() > 18 ||
                    !std::ranges::all_of(value, [](char c) { return c >= '0' && c <= '9'; });
            }
            else if (equals_ignoring_case(name, "Transfer-Encoding")) {
                ++encodings;
                bad_value = bad_value || !equals_ignoring_case(value, "chunked");
            }
        });
    if (!well_formed) {
        return fail(why, reason_code::malformed, "folded or malformed header line");
    }
    if (too_large) {
        return fail(why, reason_code::too_large,
                    "name or value of a header above " + std::to_string(max_field_bytes) +
                        " bytes");
    }
    if (lengths + encodings > 1) {
        return fail(why, reason_code::malformed, "more than one header states the body's length");
    }
    if (bad_value) {
        return fail(why, reason_code::malformed, "the header that states the body's length is bad");
    }
    return true;
}

template <bool IsRequest>
bool message_reader<IsRequest>::read_head(const head_limits& limits, reason& why)
{
    std::size_t head_bytes = 0;
    if (!buffer_head(limits, head_bytes, why) ||
        !account_for_late_bytes(head_bytes, limits.m_first_byte, why)) {
        return false;
    }
    const auto data = m_buffer.cdata();
    const std::string_view head(static_cast<const char*>(data.data()), head_bytes);
    if (!check_framing(head, why)) {
        return false;
    }
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.m_max_bytes));
    m_parser->body_limit(boost::none);
    error_code error;
    const std::size_t used = m_parser->put(boost::asio::buffer(head), error);
    if (error || !m_parser->is_header_done()) {
        return fail(why, reason_code::malformed, error ? error.message() : "bad head");
    }
    if constexpr (!IsRequest) {
        const unsigned status = m_parser->get().result_int();
        if (!is_valid_status(status)) {
            return fail(why, reason_code::malformed,
                        "HTTP has no status " + std::to_string(status));
        }
    }
    m_buffer.consume(used);
    m_head.reset();
    if (m_parser->chunked()) {
        m_head.emplace(m_parser->get().base());
    }
    return true;
}

template <bool IsRequest>
message_framing message_reader<IsRequest>::framing() const
{
    if (m_parser->chunked()) {
        return message_framing::chunked();
    }
    const auto length = content_length();
    return length ? message_framing::of_length(*length) : message_framing::none();
}

template <bool IsRequest>
std::optional<std::uint64_t> message_reader<IsRequest>::content_length() const
{
    const auto length = m_parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

template <bool IsRequest>
body_state message_reader<IsRequest>::read_body(std::string& piece, std::size_t max_bytes,
                                                time_point deadline, reason& why)
{
    piece.clear();
    if (done()) {
        return body_state::end;
    }
    if constexpr (!IsRequest) {
        if (m_parser->need_eof() && !m_is_whole) {
            fail(why, reason_code::malformed, "the response does not state its length");
            return body_state::failed;
        }
    }
    // resize() clears the space, so it is no larger than what can be read into it.
    const auto remaining = m_parser->content_length_remaining();
    const std::size_t space = std::min<std::size_t>(
        max_bytes, remaining ? std::max<std::size_t>(*remaining, 1) : unknown_length_read_bytes);
    piece.resize(space);
    auto& body = m_parser->get().body();
    body.data = piece.data();
    body.size = piece.size();
    body.more = true;
    // The parser keeps a chunk size with its extensions, or all trailers, in the buffer until the
    // last of their bytes has arrived.
    m_buffer.max_size(std::max(m_buffer.size(), max_piece_bytes));
    const auto [error, size] = await_until(m_stream, deadline, [&](auto handler) {
        http::async_read_some(m_stream, m_buffer, *m_parser, std::move(handler));
    });
    m_buffer.max_size(std::numeric_limits<std::size_t>::max());
    piece.resize(space - body.size);
    body.data = nullptr;
    body.size = 0;
    if (error == http::error::buffer_overflow) {
        fail(why, reason_code::malformed,
             "more than " + std::to_string(max_piece_bytes) +
                 " bytes between two pieces of a body");
        return body_state::failed;
    }
    if (error && error != http::error::need_buffer) {
        why = to_reason(error);
        return body_state::failed;
    }
    if (!account_for_late_bytes(size, deadline, why)) {
        return body_state::failed;
    }
    if constexpr (!IsRequest) {
        if (m_parser->is_done() && m_parser->need_eof() && !m_is_whole()) {
            fail(why, reason_code::interrupted,
                 "connection lost: it ended before the request had been written");
            return body_state::failed;
        }
    }
    return m_parser->is_done() ? body_state::end : body_state::more;
}

template class message_reader<true>;
template class message_reader<false>;

namespace {

std::string start_line(const http::header<true>& head)
{
    return std::string(head.method_string()) + ' ' + std::string(head.target()) + " HTTP/1.1\r\n";
}

std::string start_line(const http::header<false>& head)
{
    std::string phrase(head.reason());
    if (phrase.empty()) {
        phrase = std::string(http::obsolete_reason(head.result()));
    }
    return "HTTP/1.1 " + std::to_string(head.result_int()) + ' ' + phrase + "\r\n";
}

std::string chunk_prefix(std::size_t size)
{
    std::array<char, 2 * sizeof size> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
    return std::string(digits.data(), end) + "\r\n";
}

constexpr std::string_view last_chunk = "0\r\n\r\n";

bool is_framing_field(http::field name)
{
    return name == http::field::content_length || name == http::field::transfer_encoding;
}

// Fields that every recipient of a message needs. RFC 9110, section 7.6.1, forbids a sender to list
// such fields in Connection.
bool is_end_to_end_field(std::string_view name)
{
    constexpr std::array prefixes = {std::string_view("Content-"), std::string_view("Pomelohead-")};
    constexpr std::array names = {std::string_view("Host"),       std::string_view("Authorization"),
                                  std::string_view("Cookie"),     std::string_view("Set-Cookie"),
                                  std::string_view("Location"),   std::string_view("Cache-Control"),
                                  std::string_view("Retry-After")};
    const auto is_name = [name](std::string_view known) {
        return equals_ignoring_case(name, known);
    };
    const auto is_prefix = [name](std::string_view known) {
        return equals_ignoring_case(name.substr(0, known.size()), known);
    };
    return std::ranges::any_of(names, is_name) || std::ranges::any_of(prefixes, is_prefix);
}

} // namespace

template <bool IsRequest>
bool message_writer::write_head(const http::header<IsRequest>& head, const message_framing& framing,
                                std::string_view first_piece, time_point deadline, reason& why)
{
    if (IsRequest && framing == message_framing::none() && !first_piece.empty()) {
        return fail(why, reason_code::conflict, "a request whose head states no body has one");
    }
    m_framing = framing;
    m_remaining = framing.length().value_or(0);
    if (!account_for(first_piece, why)) {
        return false;
    }
    std::string text = start_line(head);
    for (const auto& field : head) {
        if (!is_framing_field(field.name())) {
            text.append(field.name_string()).append(": ").append(field.value()).append("\r\n");
        }
    }
    if (framing.is_chunked()) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    else if (const auto length = framing.length()) {
        text += "Content-Length: " + std::to_string(*length) + "\r\n";
    }
    text += "\r\n";
    if (framing.is_chunked() && !first_piece.empty()) {
        text += chunk_prefix(first_piece.size());
        text.append(first_piece).append("\r\n");
        return write(text, {}, deadline, why);
    }
    const bool is_written = write(text, first_piece, deadline, why);
    m_is_complete = is_written && !framing.is_chunked() && m_remaining == 0;
    return is_written;
}

template bool message_writer::write_head<true>(const http::header<true>&, const message_framing&,
                                               std::string_view, time_point, reason&);
template bool message_writer::write_head<false>(const http::header<false>&, const message_framing&,
                                                std::string_view, time_point, reason&);

bool message_writer::account_for(std::string_view piece, reason& why)
{
    if (!m_framing.length()) {
        return true;
    }
    if (piece.size() > m_remaining) {
        return fail(why, reason_code::conflict, "the body is longer than its head says");
    }
    m_remaining -= piece.size();
    return true;
}

bool message_writer::write_body(std::string_view piece, time_point deadline, reason& why)
{
    if (piece.empty()) {
        return true;
    }
    if (!account_for(piece, why)) {
        return false;
    }
    if (!m_framing.is_chunked()) {
        const bool is_written = write(piece, {}, deadline, why);
        m_is_complete = is_written && m_remaining == 0;
        return is_written;
    }
    std::string framed = chunk_prefix(piece.size());
    framed.append(piece).append("\r\n");
    return write(framed, {}, deadline, why);
}

bool message_writer::finish(time_point deadline, reason& why)
{
    if (m_remaining > 0) {
        return fail(why, reason_code::conflict, "the body is shorter than its head says");
    }
    if (m_framing.is_chunked()) {
        m_is_complete = write(last_chunk, {}, deadline, why);
        return m_is_complete;
    }
    return true;
}

bool message_writer::write(std::string_view first, std::string_view second, time_point deadline,
                           reason& why)
{
    m_started = true;
    const std::array buffers = {boost::asio::buffer(first), boost::asio::buffer(second)};
    const auto [error, size] = await_until(m_stream, deadline, [&](auto handler) {
        boost::asio::async_write(m_stream, buffers, std::move(handler));
    });
    if (error) {
        why = to_reason(error);
        return false;
    }
    return true;
}

void remove_hop_by_hop_headers(http::fields& fields)
{
    std::vector<std::string> options;
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field) {
        for (const auto& option : http::token_list(field->value())) {
            options.emplace_back(option);
        }
    }
    for (const std::string& name : options) {
        if (!is_end_to_end_field(name)) {
            fields.erase(name);
        }
    }
    for (const http::field name :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
          http::field::content_length, http::field::transfer_encoding, http::field::te,
          http::field::trailer, http::field::upgrade, http::field::expect}) {
        fields.erase(name);
    }
}

} // namespace pomelohead::forwarding
