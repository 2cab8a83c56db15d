// Waiting until a version is in force on a set of nodes.
//
//     wait_hooks hooks{fetch_all, now, sleep};
//     wait_result result = wait_for_version({.m_version = 7, .m_nodes = nodes}, hooks);
//     return result.m_good ? 0 : 1;
#pragma once

#include "pomelohead/cli/admin_client.h"
#include "pomelohead/cli/node_status.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace pomelohead::cli {

using std::chrono::milliseconds;

/// The pause between two polling rounds.
inline constexpr milliseconds poll_pause{200};

/// The longest that one node may take to answer in one round.
inline constexpr milliseconds poll_limit{1'000};

/// What each node has to answer at least, also in the last round: its answer says what is missing.
inline constexpr milliseconds min_poll_limit{200};

/// What to wait for.
struct wait_options {
    config::version_number m_version = 0;
    milliseconds m_limit{};
    std::vector<node_address> m_nodes;
    bool m_members = false; ///< also for the live members that these nodes know

    bool operator==(const wait_options&) const = default;
};

/// Network, clock and sleep functions; tests replace them.
struct wait_hooks {
    fetch_function m_fetch;
    std::function<std::chrono::steady_clock::time_point()> m_now;
    std::function<void(milliseconds)> m_sleep;
};

/// Whether one node has the version.
struct wait_node {
    node_address m_address;
    std::string m_node; ///< empty where it never answered
    config::version_number m_version = 0;
    bool m_in_force = false;
    std::string m_why; ///< where not in force

    bool operator==(const wait_node&) const = default;
};

/// The result of the last polling round.
struct wait_result {
    bool m_good = false; ///< all nodes have the version or a later one
    milliseconds m_waited{};
    std::vector<wait_node> m_nodes;

    bool operator==(const wait_result&) const = default;
};

/// Asks until all nodes have the version, or the limit has passed. Versions never
/// go back, so a later one counts: it replaced the one that is waited for.
[[nodiscard]] wait_result wait_for_version(const wait_options& options, const wait_hooks& hooks);

/// What `report` says about `version`.
[[nodiscard]] wait_node judge(const node_report& report, config::version_number version);

} // namespace pomelohead::cli
