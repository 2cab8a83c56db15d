// CBOR encoding of relayed_changes.
//
// An array [cursor, revision, complete revision, items, unchanged, relays]. An item is
// [key, revision] for a removal and [key, revision, size, deflated, bytes] for a value; an
// unchanged key is [key, revision]; a relay is an address.
//
//     std::string bytes = encode(changes);
//     reason why;
//     std::optional<relayed_changes> changes = decode_changes(bytes, why);
#pragma once

#include "pomelohead/source/relay.h"

namespace pomelohead::source {

[[nodiscard]] std::string encode(const relayed_changes& changes);

/// Fails with malformed if `bytes` is not such an array.
[[nodiscard]] std::optional<relayed_changes> decode_changes(std::string_view bytes, reason& why);

} // namespace pomelohead::source
