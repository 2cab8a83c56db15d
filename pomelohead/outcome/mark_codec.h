// Crash marks as nodes send them to each other: CBOR, a list of maps.
//
//     std::string bytes = encode_marks(watch.digest(now));
//     reason why;
//     if (auto marks = decode_marks(bytes, why)) { watch.merge(*marks, now); }
#pragma once

#include "pomelohead/outcome/quarantine.h"
#include "pomelohead/runtime/reason.h"

#include <optional>

namespace pomelohead::outcome {

/// The most marks in one message.
inline constexpr std::size_t max_marks_per_message = 1'000;

[[nodiscard]] std::string encode_marks(const std::vector<crash_mark>& marks);

/// Reads what encode_marks() writes. Fails with malformed on anything else, with
/// too_large on too many marks or over-long texts.
[[nodiscard]] std::optional<std::vector<crash_mark>> decode_marks(std::string_view bytes,
                                                                  reason& why);

} // namespace pomelohead::outcome
