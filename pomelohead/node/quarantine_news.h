// Word of requests that crash targets, as nodes tell it to one another.
//
// The marks of outcome/quarantine.h as one CBOR array, small enough for one rumor
// of the distribution. Marks merge as sets, so repeated and crossing news is harmless.
//
//     distributor.spread(encode_quarantine_news(quarantine.digest(now, max_quarantine_news)));
//     reason why;
//     if (const auto marks = decode_quarantine_news(bytes, why)) quarantine.merge(*marks, now);
#pragma once

#include "pomelohead/outcome/quarantine.h"
#include "pomelohead/runtime/reason.h"

#include <optional>

namespace pomelohead::node {

/// Marks at most in one piece of news.
inline constexpr std::size_t max_quarantine_news = 20;

[[nodiscard]] std::string encode_quarantine_news(const std::vector<outcome::crash_mark>& marks);

/// Fails with malformed on anything but whole news within its limits.
[[nodiscard]] std::optional<std::vector<outcome::crash_mark>>
decode_quarantine_news(const std::string& bytes, reason& why);

} // namespace pomelohead::node
