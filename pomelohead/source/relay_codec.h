// A relay's changes as CBOR.
//
// An array [cursor, revision, items], each item [key, revision], or with a value
// [key, revision, size, deflated, bytes].
//
//     std::string bytes = encode(changes);
//     reason why;
//     std::optional<relayed_changes> changes = decode_changes(bytes, why);
#pragma once

#include "pomelohead/source/relay.h"

namespace pomelohead::source {

[[nodiscard]] std::string encode(const relayed_changes& changes);

/// Fails with malformed.
[[nodiscard]] std::optional<relayed_changes> decode_changes(std::string_view bytes, reason& why);

} // namespace pomelohead::source
