// Checks limits of CBOR from the network before it is decoded.
//
// Decoders recurse into nested items, so a megabyte of array headers would overflow the
// stack of a fiber. The check does not recurse.
#pragma once

#include <string_view>

namespace pomelohead::distribution {

/// Whether `bytes` are exactly one CBOR item with definite lengths and without tags, whose
/// arrays and maps nest at most `max_depth` deep.
[[nodiscard]] bool is_bounded_cbor(std::string_view bytes, unsigned max_depth);

} // namespace pomelohead::distribution
