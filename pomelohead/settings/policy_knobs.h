// The policy settings that operators may turn, with their ranges.
//
// Each knob has a default that suits the users' sizes; a switch of a mechanism is
// a knob from 0 (off) to 1 (on).
//
//     double share = knob_value(settings.m_policy, "retry_share_percent");
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace pomelohead::settings {

/// One policy setting.
struct policy_knob {
    std::string_view m_name;
    double m_default;
    double m_least;
    double m_most;
    std::string_view m_text; ///< what it does, with its unit

    bool operator==(const policy_knob&) const = default;
};

/// All knobs, sorted by name.
[[nodiscard]] std::span<const policy_knob> policy_knobs();

/// The knob of that name, or null.
[[nodiscard]] const policy_knob* find_policy_knob(std::string_view name);

/// The value set for a knob, or its default. The knob must exist.
[[nodiscard]] double knob_value(const std::map<std::string, double>& values, std::string_view name);

} // namespace pomelohead::settings
