// Whether a target is leaving, from three sources of word.
//
// The configuration (a drain rule), the host list (its host is "leaving") and
// the owner itself (a stop is under way) may each say so, and each may lag; the
// first one counts. A word is taken back only by the source that gave it. The
// owner's word belongs to its incarnation: a replacement under the same address
// starts without it, and a late word of the old one counts for nothing.
//
//     drain_view view;
//     view.m_owner_left = 7;                        // incarnation 7 said so
//     is_draining(view, 7);                         // true
//     is_draining(view, 8);                         // false: its successor
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace pomelohead::lifecycle {

/// What the three sources say of one target at this moment.
struct drain_view {
    bool m_in_configuration = false;           ///< the snapshot has a drain rule for it
    bool m_in_host_list = false;               ///< its host is listed as leaving
    std::optional<std::uint64_t> m_owner_left; ///< the incarnation that said that it leaves

    bool operator==(const drain_view&) const = default;
};

/// Whether the target gets no new work. `owner_incarnation` is the newest known.
[[nodiscard]] bool is_draining(const drain_view& view, std::uint64_t owner_incarnation);

/// Which sources say so, for status pages: "configuration", "host list",
/// "owner", joined by ", "; empty if none does.
[[nodiscard]] std::string describe(const drain_view& view, std::uint64_t owner_incarnation);

/// The view after an owner's word about itself. A word of an incarnation older
/// than `owner_incarnation` changes nothing.
[[nodiscard]] drain_view with_owner_word(const drain_view& view, std::uint64_t owner_incarnation,
                                         std::uint64_t speaker, bool draining);

} // namespace pomelohead::lifecycle
