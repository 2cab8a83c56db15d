// Bounds on CBOR from the network, checked before a decoder sees it.
//
// Decoders recurse into nested items, so that a megabyte of array headers would
// overflow a fiber's stack. The check does not recurse.
#pragma once

#include <string_view>

namespace pomelohead::distribution {

/// Whether `bytes` are one whole CBOR item of definite lengths, without tags, whose
/// arrays and maps nest at most `max_depth` deep.
[[nodiscard]] bool is_bounded_cbor(std::string_view bytes, unsigned max_depth);

} // namespace pomelohead::distribution
