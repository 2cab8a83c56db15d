// A value as nodes send it to each other: large ones are compressed.
//
// A configuration of a thousand routes is mostly field names; packed it is about a tenth,
// which lets one relay serve its failure domain over a link of a few Mbit/s.
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
    std::uint64_t m_size = 0; ///< of the value
    bool m_deflated = false;  ///< raw DEFLATE; otherwise the value itself

    bool operator==(const packed_value&) const = default;
};

/// The largest value that is unpacked.
inline constexpr std::uint64_t max_value_bytes = 16ULL * 1024 * 1024;

[[nodiscard]] packed_value pack(std::string value);

/// Fails with malformed where the bytes do not give a value of the stated size, and with
/// too_large above max_value_bytes.
[[nodiscard]] std::optional<std::string> unpack(const packed_value& packed, reason& why);

} // namespace pomelohead::source
