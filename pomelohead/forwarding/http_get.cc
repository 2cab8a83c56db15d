#include "pomelohead/forwarding/http_get.h"

#include <algorithm>

namespace pomelohead::forwarding {
namespace {

bool read_full_body(response_reader& reader, const get_limits& limits, std::string& body,
                    reason& why)
{
    std::string piece;
    body_state state = reader.done() ? body_state::end : body_state::more;
    const time_point end = clock_type::now() + limits.m_body_timeout;
    while (state == body_state::more) {
        const time_point deadline = std::min(clock_type::now() + limits.m_piece_timeout, end);
        state = reader.read_body(piece, max_piece_bytes, deadline, why);
        body += piece;
        if (body.size() > limits.m_max_bytes) {
            why = {reason_code::too_large, "the response is too large"};
            return false;
        }
    }
    return state == body_state::end;
}

} // namespace

std::optional<full_response> http_get(connection_pool& pool, const std::string& host,
                                      const std::string& path, const get_limits& limits,
                                      in_flight_calls& in_flight, reason& why)
{
    auto connection = pool.acquire(std::min(limits.m_deadline, limits.m_connect_deadline), why);
    if (!connection) {
        return std::nullopt;
    }
    if (limits.m_on_connected) {
        limits.m_on_connected();
    }
    const auto position = in_flight.insert(in_flight.end(), connection.get());
    http::header<true> head;
    head.method(http::verb::get);
    head.target(path);
    head.set(http::field::host, host);
    message_writer writer(connection->m_stream);
    response_reader reader(connection->m_stream, connection->m_buffer);
    full_response response;
    const bool succeeded =
        writer.write_head(head, message_framing::none(), {}, limits.m_deadline, why) &&
        reader.read_head({.m_first_byte = limits.m_deadline}, why) &&
        read_full_body(reader, limits, response.m_body, why);
    in_flight.erase(position);
    if (!succeeded) {
        return std::nullopt;
    }
    response.m_status = reader.head().result_int();
    response.m_fields = static_cast<const http::fields&>(reader.head());
    if (auto reusable = reusable_connection::after(connection, writer, reader)) {
        pool.release(std::move(*reusable));
    }
    return response;
}

} // namespace pomelohead::forwarding
