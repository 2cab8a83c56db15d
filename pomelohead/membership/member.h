// What a node knows of another node.
#pragma once

#include "pomelohead/config/snapshot.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelohead::membership {

/// What the mesh believes of a node.
enum class member_state : std::uint8_t {
    alive = 0,
    suspect = 1, ///< did not answer; is dead unless it refutes in time
    leaving = 2, ///< announced its stop, or the platform's host list says so
    dead = 3,
};

[[nodiscard]] std::string_view to_string(member_state state); ///< the enumerator's name

/// Orders the lives of one address.
///
/// The upper bits number the process's start (its epoch), the lower bits the times
/// that this process refuted a false suspicion.
using incarnation = std::uint64_t;

inline constexpr unsigned refutation_bits = 16;

/// The number of the process's start within `value`.
[[nodiscard]] constexpr std::uint64_t epoch_of(incarnation value)
{
    return value >> refutation_bits;
}

/// The first incarnation of a start.
[[nodiscard]] constexpr incarnation first_incarnation(std::uint64_t epoch)
{
    return epoch << refutation_bits;
}

/// One node, as believed by another.
struct member {
    std::string m_node;
    std::string m_address; ///< IP; identifies the host
    std::string m_failure_domain;
    std::string m_region;
    incarnation m_incarnation = 0;
    member_state m_state = member_state::alive;
    config::version_number m_version = 0; ///< last heard from it directly; 0: never

    bool operator==(const member&) const = default;
};

} // namespace pomelohead::membership
