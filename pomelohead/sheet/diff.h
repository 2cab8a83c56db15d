// Differences between two configurations, in the terms of the operators' sheet.
//
//     snapshot_diff diff = compare(in_force, proposed);
//     for (const change& item : diff.m_changes) {
//         std::cout << to_sentence(item) << '\n';
//     }
//     for (const warning& item : diff.m_warnings) {
//         std::cout << "warning: " << item.m_text << '\n';
//     }
#pragma once

#include "pomelohead/config/snapshot.h"

#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::sheet {

/// The kinds of change reported to operators.
enum class change_kind {
    route_added,
    route_removed,
    route_moved,         ///< to another service
    route_class_changed, ///< between short and long
    route_changed,       ///< any other field
    target_added,
    target_removed,
    target_changed,
    drain_begun,
    drain_ended,
    drain_changed,
    shed_added,
    shed_removed,
    shed_changed,
};

/// Returns the kind's name in JSON output, which is its enumerator's name.
[[nodiscard]] std::string_view to_string(change_kind kind);

/// One difference between two configurations.
struct change {
    change_kind m_kind{};
    std::string m_subject; ///< the route's or target's name, or the accounts and calls a shed rule
                           ///< applies to
    std::string m_field;   ///< the field that changed; empty if the subject was added or removed
    std::string m_before;
    std::string m_after;

    bool operator==(const change&) const = default;
};

/// Returns a human-readable sentence that describes the change.
[[nodiscard]] std::string to_sentence(const change& item);

/// A condition that operators should check before publishing.
struct warning {
    std::string m_service;
    std::string m_text;

    bool operator==(const warning&) const = default;
};

/// All changes, routes first, and the warnings about the later configuration.
struct snapshot_diff {
    std::vector<change> m_changes;
    std::vector<warning> m_warnings;

    bool operator==(const snapshot_diff&) const = default;
};

/// Compares two valid configurations; their versions and hashes are ignored.
[[nodiscard]] snapshot_diff compare(const config::snapshot& before, const config::snapshot& after);

/// Returns a warning for each service of `config` whose targets are all drained.
[[nodiscard]] std::vector<warning> warnings_for(const config::snapshot& config);

} // namespace pomelohead::sheet
