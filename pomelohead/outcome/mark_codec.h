// The wire format of crash marks between nodes: a CBOR list of maps.
//
//     std::string bytes = encode_marks(tracker.digest(now));
//     reason why;
//     if (auto marks = decode_marks(bytes, why)) { tracker.merge(*marks, now); }
#pragma once

#include "pomelohead/outcome/quarantine.h"
#include "pomelohead/runtime/reason.h"

#include <optional>

namespace pomelohead::outcome {

/// The maximum number of marks in one message.
inline constexpr std::size_t max_marks_per_message = 1'000;

[[nodiscard]] std::string encode_marks(const std::vector<crash_mark>& marks);

/// Parses what encode_marks() writes. Fails with `too_large` on more than
/// max_marks_per_message marks and with `malformed` on anything else, over-long texts
/// included.
[[nodiscard]] std::optional<std::vector<crash_mark>> decode_marks(std::string_view bytes,
                                                                  reason& why);

} // namespace pomelohead::outcome
