#include "pomelohead/source/packed_value.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace pomelohead::source {
namespace {

namespace zlib = boost::beast::zlib;

// For smaller values the message header outweighs what compression saves.
constexpr std::size_t min_deflated_bytes = 1024;

// The fastest level: the value is compressed on a host whose targets serve callers.
constexpr int level = 1;
constexpr int window_bits = 15;
constexpr int memory_level = 8;

} // namespace

packed_value pack(std::string value)
{
    const std::uint64_t size = value.size();
    if (size < min_deflated_bytes) {
        return {std::move(value), size, false};
    }
    zlib::deflate_stream stream;
    stream.reset(level, window_bits, memory_level, zlib::Strategy::normal);
    std::string out(stream.upper_bound(value.size()), '\0');
    zlib::z_params state;
    state.next_in = value.data();
    state.avail_in = value.size();
    state.next_out = out.data();
    state.avail_out = out.size();
    boost::beast::error_code error;
    stream.write(state, zlib::Flush::finish, error);
    if (error != zlib::error::end_of_stream) {
        return {std::move(value), size, false};
    }
    out.resize(state.total_out);
    out.shrink_to_fit();
    return {std::move(out), size, true};
}

std::optional<std::string> unpack(const packed_value& packed, reason& why)
{
    if (packed.m_size > max_unpacked_bytes) {
        why = {reason_code::too_large, "packed value expands to " + std::to_string(packed.m_size) +
                                           " bytes, above the limit"};
        return std::nullopt;
    }
    if (!packed.m_deflated) {
        if (packed.m_bytes.size() != packed.m_size) {
            why = {reason_code::malformed,
                   "size of an uncompressed packed value differs from the stated size"};
            return std::nullopt;
        }
        return packed.m_bytes;
    }
    zlib::inflate_stream stream;
    stream.reset(window_bits);
    // One byte more than the stated size, to detect a longer value.
    std::string out(packed.m_size + 1, '\0');
    zlib::z_params state;
    state.next_in = packed.m_bytes.data();
    state.avail_in = packed.m_bytes.size();
    state.next_out = out.data();
    state.avail_out = out.size();
    boost::beast::error_code error;
    stream.write(state, zlib::Flush::sync, error);
    // inflate reports the end of the stream only on a further call, so compare the sizes.
    if ((error && error != zlib::error::end_of_stream) || state.avail_in > 0 ||
        state.total_out != packed.m_size) {
        why = {reason_code::malformed, "packed value is not DEFLATE data of the stated size"};
        return std::nullopt;
    }
    out.resize(packed.m_size);
    return out;
}

} // namespace pomelohead::source
