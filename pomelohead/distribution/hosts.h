// The platform's host list: who exists and who is leaving, some time ago.
#pragma once

#include "pomelohead/runtime/reason.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::distribution {

/// Hosts at most in a list.
inline constexpr std::size_t max_listed_hosts = 10'000;

/// One line of the list.
struct listed_host {
    std::string m_host;
    std::string m_address; ///< IP
    std::string m_failure_domain;
    std::string m_region;
    bool m_leaving = false;

    bool operator==(const listed_host&) const = default;
};

/// Reads the value of the key `hosts`, a JSON list. Unknown fields are passed over,
/// as the list is the platform's and not ours.
[[nodiscard]] std::optional<std::vector<listed_host>> parse_hosts(std::string_view bytes,
                                                                  reason& why);

} // namespace pomelohead::distribution
