// Encoding of values that nodes send to each other: large values are compressed.
//
// A configuration of a thousand routes consists mostly of field names. Compression reduces
// it to about a tenth, so that one relay can serve its failure domain over a link of a few
// Mbit/s.
//
//     packed_value packed = pack(text);
//     reason why;
//     std::optional<std::string> text = unpack(packed, why);
#pragma once

#include "pomelohead/runtime/reason.h"

#include <cstdint>
#include <optional>
#include <string>

namespace pomelohead::source {

struct packed_value {
    std::string m_bytes;
    std::uint64_t m_size = 0; ///< bytes of the value before compression
    bool m_deflated = false;  ///< m_bytes is raw DEFLATE data; otherwise the value itself

    bool operator==(const packed_value&) const = default;
};

/// The largest value that unpack() accepts.
inline constexpr std::uint64_t max_unpacked_bytes = 16ULL * 1024 * 1024;

/// Compresses `value` if it has at least 1024 bytes.
[[nodiscard]] packed_value pack(std::string value);

/// Fails with malformed if the bytes do not yield a value of the stated size, and with
/// too_large above max_value_bytes.
[[nodiscard]] std::optional<std::string> unpack(const packed_value& packed, reason& why);

} // namespace pomelohead::source
