// Reads and writes HTTP/1.1 messages piece by piece over one connection.
//
// message_reader reads a head, then the body piece by piece; message_writer writes in the same way.
// Neither holds a complete body, so uploads of any size pass in bounded memory. Both reject
// ambiguous messages: with both length headers, repeated lengths or folded lines. Responses that
// are delimited by the end of the connection are rejected unless accept_unframed() was called, and
// responses with a status that HTTP does not have always.
// Trailers are discarded. What stands between the pieces of a body (chunk sizes with their
// extensions, trailers) is bounded like the pieces themselves.
//
//     request_reader reader(stream, buffer);
//     reason why;
//     if (!reader.read_head(limits, why)) ...
//     std::string piece;
//     while (reader.read_body(piece, max_piece_bytes, deadline, why) == body_state::more) ...
//
// All calls suspend the calling fiber.
#pragma once

#include "pomelohead/runtime/reason.h"
#include "pomelohead/runtime/timer_service.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pomelohead::forwarding {

namespace http = boost::beast::http;

/// The most bytes that one read of a body returns.
inline constexpr std::size_t max_piece_bytes = 64UL * 1024UL;

/// The most bytes of a message that are read after the deadline. What has arrived by then, which
/// the sockets of both sides bound, is still delivered; a peer that always sends more is given up.
inline constexpr std::size_t max_late_bytes = 8UL * 1024UL * 1024UL;

/// The most bytes of a header's name, and of its value. http::fields throws above it, whatever size
/// of a head is allowed.
inline constexpr std::size_t max_field_bytes = 65'533;

/// Limits on the head of a message.
struct head_limits {
    std::size_t m_max_bytes = 16UL * 1024UL;
    time_point m_first_byte = time_point::max(); ///< for the first byte to arrive
    duration m_rest = std::chrono::seconds(10);  ///< for the rest of the head after it
};

/// Whether HTTP has such a status (RFC 9110, section 15): 100 to 599.
[[nodiscard]] constexpr bool is_valid_status(unsigned status)
{
    constexpr unsigned min_status = 100;
    constexpr unsigned max_status = 599;
    return status >= min_status && status <= max_status;
}

/// Whether a response with this status is followed by another one to the same request.
[[nodiscard]] constexpr bool is_interim_status(unsigned status)
{
    constexpr unsigned min_final_status = 200;
    return is_valid_status(status) && status < min_final_status;
}

/// How a message marks the end of its body, with the length that it states.
class message_framing {
public:
    enum class kind { none, length, chunked };

    /// A request without a body, or a response that ends with its connection.
    [[nodiscard]] static constexpr message_framing none() { return {kind::none, 0}; }
    [[nodiscard]] static constexpr message_framing of_length(std::uint64_t bytes)
    {
        return {kind::length, bytes};
    }
    [[nodiscard]] static constexpr message_framing chunked() { return {kind::chunked, 0}; }

    [[nodiscard]] constexpr bool is_chunked() const { return m_kind == kind::chunked; }
    /// The length of the body; nothing if the head does not state it.
    [[nodiscard]] constexpr std::optional<std::uint64_t> length() const
    {
        return m_kind == kind::length ? std::optional(m_length) : std::nullopt;
    }

    bool operator==(const message_framing&) const = default;

private:
    constexpr message_framing(kind how, std::uint64_t length) : m_kind(how), m_length(length) {}

    kind m_kind;
    std::uint64_t m_length;
};

/// The result of read_body().
enum class body_state { more, end, failed };

/// Reads one message.
template <bool IsRequest>
class message_reader {
public:
    /// Both must outlive the reader; `buffer` holds bytes of the next message.
    message_reader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer);

    /// Reads the head. Fails with timed_out, too_large, malformed or interrupted; with cancelled if
    /// the peer closed the connection before the first byte.
    bool read_head(const head_limits& limits, reason& why);

    /// Declares that the response has no body, whatever its head says, as for a HEAD request.
    void expect_no_body() { m_has_no_body = true; }

    /// Accepts a response without a length as complete if its connection ends in order and
    /// `is_whole` then returns true. The system reports a reset only once: after a write has failed
    /// with it, a read sees an orderly end, so `is_whole` must account for the request's writes.
    void accept_unframed(std::function<bool()> is_whole) { m_is_whole = std::move(is_whole); }

    /// Whether a head has been read; the functions below require it.
    [[nodiscard]] bool has_head() const { return m_parser.has_value(); }
    [[nodiscard]] const http::header<IsRequest>& head() const
    {
        return m_head ? *m_head : m_parser->get().base();
    }
    [[nodiscard]] message_framing framing() const;
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;
    [[nodiscard]] bool keep_alive() const { return m_parser->keep_alive(); }
    [[nodiscard]] bool done() const { return m_has_no_body || m_parser->is_done(); }

    /// Reads the next piece of the body, at most `max_bytes`, into `piece`. Fails with interrupted
    /// if the connection ends before the body does, and with malformed or timed_out.
    body_state read_body(std::string& piece, std::size_t max_bytes, time_point deadline,
                         reason& why);

private:
    bool buffer_head(const head_limits& limits, std::size_t& head_bytes, reason& why);
    bool account_for_late_bytes(std::size_t bytes, time_point deadline, reason& why);
    bool check_framing(std::string_view head, reason& why) const;

    boost::beast::tcp_stream& m_stream;
    boost::beast::flat_buffer& m_buffer;
    bool m_has_no_body = false;
    std::function<bool()> m_is_whole; ///< empty: responses without a length are rejected
    std::size_t m_late_bytes = 0;     ///< read after the deadline
    std::optional<http::parser<IsRequest, http::buffer_body>> m_parser;
    /// Of a chunked message only: the parser adds trailers to its own head.
    std::optional<http::header<IsRequest>> m_head;
};

using request_reader = message_reader<true>;
using response_reader = message_reader<false>;

extern template class message_reader<true>;
extern template class message_reader<false>;

/// Writes one message. The writer alone writes the fields that frame the body; those of the given
/// head are ignored, as they may be of another message. It fails with conflict rather than write a
/// body that is longer or shorter than the head says.
class message_writer {
public:
    explicit message_writer(boost::beast::tcp_stream& stream) : m_stream(stream) {}

    /// Writes a head followed by the first bytes of the body.
    template <bool IsRequest>
    bool write_head(const http::header<IsRequest>& head, const message_framing& framing,
                    std::string_view first_piece, time_point deadline, reason& why);

    /// Writes the next bytes of the body.
    bool write_body(std::string_view piece, time_point deadline, reason& why);

    /// Marks the end of the body.
    bool finish(time_point deadline, reason& why);

    /// Whether any byte has been passed to the connection.
    [[nodiscard]] bool started() const { return m_started; }

    /// Whether the message has been passed to the connection to its end.
    [[nodiscard]] bool is_complete() const { return m_is_complete; }

private:
    bool account_for(std::string_view piece, reason& why);
    bool write(std::string_view first, std::string_view second, time_point deadline, reason& why);

    boost::beast::tcp_stream& m_stream;
    message_framing m_framing = message_framing::none();
    std::uint64_t m_remaining = 0; ///< of a body whose head states its length
    bool m_started = false;
    bool m_is_complete = false;
};

/// Removes the headers that concern a single connection only (RFC 9110, section 7.6.1) and the
/// framing of the body. A Connection header cannot name fields that every recipient needs.
void remove_hop_by_hop_headers(http::fields& fields);

} // namespace pomelohead::forwarding
