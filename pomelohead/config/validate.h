// Validation of a complete configuration.
//
// It runs when operators build a bundle from a sheet, and again on every node before a
// version is put in force.
#pragma once

#include "pomelohead/config/snapshot.h"

namespace pomelohead::config {

/// The largest plausible figures of a service's warm-up.
inline constexpr milliseconds max_warm_up_time = std::chrono::hours(1);
inline constexpr double max_warm_up_rate = 1e6; ///< requests a second

/// A violation of one rule.
struct fault {
    std::string m_subject; ///< "route NAME", "target NAME", "drain NAME", "shed N" (from 1)
    std::string m_field;   ///< the faulty field, by its name in the sheet's header
    std::string m_text;    ///< what is wrong or allowed, to follow the field's name

    bool operator==(const fault&) const = default;
};

/// Where the targets of a configuration come from.
enum class target_source {
    configuration, ///< part of the configuration: a service has at least one
    discovery,     ///< registered elsewhere: a service may have none
};

/// Returns all faults of `config` in the order routes, services, drains, sheds; empty if
/// it is valid.
[[nodiscard]] std::vector<fault> validate(const snapshot& config,
                                          target_source targets = target_source::configuration);

} // namespace pomelohead::config
