// A node's status page as a value.
#pragma once

#include "pomelohead/cli/admin_client.h"
#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::cli {

/// A version that a node did not put in force.
struct refused_version {
    config::version_number m_version = 0;
    std::string m_code;
    std::string m_text;

    bool operator==(const refused_version&) const = default;
};

/// One line of a node's view of its peers.
struct peer_status {
    std::string m_node;
    std::string m_address;
    std::string m_state; ///< "alive", "suspect", "dead" or "leaving"

    bool operator==(const peer_status&) const = default;
};

/// What the commands use of GET /status.
struct node_status {
    std::string m_node;
    std::string m_failure_domain;
    config::version_number m_version = 0; ///< in force; 0: none
    std::string m_manifest_hash;
    std::optional<double> m_config_age_s; ///< since it was last known to be the newest
    std::optional<double> m_in_force_s;   ///< since it was put in force
    std::string m_source_state;
    std::optional<double> m_last_contact_s; ///< since the source last answered
    std::optional<refused_version> m_last_refusal;
    std::vector<peer_status> m_members;
    bool m_draining = false;
    std::vector<std::string> m_evacuated_domains;
    double m_uptime_s = 0;
    std::vector<std::string> m_warming_up; ///< its targets that take a limited rate

    bool operator==(const node_status&) const = default;
};

/// Reads a status page. Only "node" and "version" must be there, so that nodes of
/// other releases can be asked; fails with malformed.
[[nodiscard]] std::optional<node_status> parse_node_status(std::string_view json, reason& why);

/// A node's status, or why there is none.
struct node_report {
    node_address m_address;
    std::optional<node_status> m_status;
    reason m_why;

    bool operator==(const node_report&) const = default;
};

/// Asks each node for its status, with `limit` for each.
[[nodiscard]] std::vector<node_report> ask_status(const fetch_function& fetch,
                                                  const std::vector<node_address>& nodes,
                                                  std::chrono::milliseconds limit);

/// The addresses in `reports`, and those of the members they know that are neither
/// dead nor leaving, without repetition. All nodes of a mesh have one admin port.
[[nodiscard]] std::vector<node_address> with_members(const std::vector<node_report>& reports);

} // namespace pomelohead::cli
