// The platform's list of hosts and their states. It may be stale.
#pragma once

#include "pomelohead/runtime/reason.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::distribution {

/// Maximum of hosts in a list.
inline constexpr std::size_t max_listed_hosts = 10'000;

/// One entry of the list.
struct listed_host {
    std::string m_host;
    std::string m_address; ///< IP
    std::string m_failure_domain;
    std::string m_region;
    bool m_leaving = false;

    bool operator==(const listed_host&) const = default;
};

/// Parses the value of the key `hosts`, a JSON list. Returns nothing with the reason if it
/// is malformed. Unknown fields are ignored, as the platform defines the format.
[[nodiscard]] std::optional<std::vector<listed_host>> parse_hosts(std::string_view bytes,
                                                                  reason& why);

} // namespace pomelohead::distribution
