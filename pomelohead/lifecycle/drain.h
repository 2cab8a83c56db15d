// Whether a target is draining, according to three independent sources.
//
// A target drains if the configuration has a drain rule for it (also because its failure domain is
// evacuated), the host list marks its host as leaving, or its owner announced a drain. Each source
// may lag, so any one of them is enough, and only the source that reported the drain can withdraw
// it. The owner's announcement belongs to its incarnation: a replacement under the same address
// starts undrained, and a late announcement of the old incarnation is ignored.
//
//     drain_view view;
//     view.m_owner_left = 7;                        // announced by incarnation 7
//     is_draining(view, 7);                         // true
//     is_draining(view, 8);                         // false: a later incarnation
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace pomelohead::lifecycle {

/// The current drain state of one target by source.
struct drain_view {
    bool m_in_configuration = false;           ///< the snapshot has a drain rule for it
    bool m_in_host_list = false;               ///< its host is listed as leaving
    std::optional<std::uint64_t> m_owner_left; ///< the incarnation that announced a drain
    bool m_is_evacuated = false;               ///< m_in_configuration is due to an evacuation

    bool operator==(const drain_view&) const = default;
};

/// Whether the target must not receive new requests. `owner_incarnation` is the newest known.
[[nodiscard]] bool is_draining(const drain_view& view, std::uint64_t owner_incarnation);

/// The sources that report a drain, for status pages: "evacuated" or "configuration",
/// "host list", "owner", joined by ", "; empty if none.
[[nodiscard]] std::string describe(const drain_view& view, std::uint64_t owner_incarnation);

/// The view after incarnation `sender` of the owner announced a drain or its end. An
/// announcement of an incarnation older than `owner_incarnation` changes nothing.
[[nodiscard]] drain_view with_owner_announcement(const drain_view& view,
                                                 std::uint64_t owner_incarnation,
                                                 std::uint64_t sender, bool draining);

} // namespace pomelohead::lifecycle
