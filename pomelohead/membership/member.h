// The membership state of a node, as known by another node.
#pragma once

#include "pomelohead/config/snapshot.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelohead::membership {

/// State of a member.
enum class member_state : std::uint8_t {
    alive = 0,
    suspect = 1, ///< did not respond to probes; declared dead unless it refutes in time
    leaving = 2, ///< announced its shutdown, or is leaving according to the platform's host list
    dead = 3,
};

[[nodiscard]] std::string_view to_string(member_state state);

/// Orders the updates about one address.
///
/// The upper bits are the number of the process's start (its epoch), the lower bits count the
/// false suspicions that this process has refuted.
using incarnation = std::uint64_t;

inline constexpr unsigned refutation_bits = 16;

/// Returns the number of the process's start within `value`.
[[nodiscard]] constexpr std::uint64_t epoch_of(incarnation value)
{
    return value >> refutation_bits;
}

/// Returns the first incarnation of a process with this epoch.
[[nodiscard]] constexpr incarnation first_incarnation(std::uint64_t epoch)
{
    return epoch << refutation_bits;
}

/// One node, as known by another.
struct member {
    std::string m_node;
    std::string m_address; ///< IP; identifies the host
    std::string m_failure_domain;
    std::string m_region;
    incarnation m_incarnation = 0;
    member_state m_state = member_state::alive;
    config::version_number m_version =
        0; ///< configuration version in its latest direct message; 0: none received

    bool operator==(const member&) const = default;
};

} // namespace pomelohead::membership
