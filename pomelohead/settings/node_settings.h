// What a node is told at its start, from one JSON file.
//
// The file is checked whole before anything starts: against the JSON schema of
// settings_schema(), which refuses unknown keys, and for contradictions between
// values. Every fault is reported with its path, its value and what is allowed.
//
//     std::vector<setting_fault> faults;
//     std::optional<node_settings> s = parse_settings(text, faults);
//     for (const setting_fault& f : faults) std::cerr << to_string(f) << '\n';
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::settings {

/// The addresses that a node listens on. All nodes of a mesh use the same ports.
struct listen_settings {
    std::string m_address;
    std::uint16_t m_caller_port = 7400; ///< callers' requests
    std::uint16_t m_owner_port = 7401; ///< requests from other nodes for the target beside this one
    std::uint16_t m_control_port = 7402; ///< configuration and membership between nodes
    std::uint16_t m_admin_port = 7403;   ///< operators
    std::uint16_t m_ready_port = 0;      ///< asked whether callers may be sent here; 0: none

    bool operator==(const listen_settings&) const = default;
};

/// Where the platform's configuration service answers.
struct source_settings {
    std::string m_address;
    std::uint16_t m_port = 0;

    bool operator==(const source_settings&) const = default;
};

/// All settings of a node.
struct node_settings {
    std::string m_node;
    std::string m_region;
    std::string m_failure_domain;
    listen_settings m_listen;
    source_settings m_source;
    std::optional<source_settings> m_store; ///< a key-value store in place of m_source
    std::string m_service; ///< runs on this host and calls through this node; may be empty
    std::optional<std::chrono::milliseconds> m_stop_limit; ///< the host ends the process after it
    /// Within which time after the store has taken a change each node has to go by it.
    std::optional<std::chrono::milliseconds> m_in_force_within;
    std::optional<double> m_link_mbps; ///< of the host's link, where that is known
    std::optional<double> m_cores;     ///< what the process may use of one core, where known
    std::vector<std::string> m_peers;  ///< IP addresses of some other hosts
    std::string m_log_level = "info";
    bool m_testing = false;           ///< lets the admin port bring about faults
    std::vector<std::string> m_terms; ///< names of the terms that the deployment has agreed to
    std::map<std::string, double> m_policy; ///< policy knobs by name; booleans are 0 and 1

    bool operator==(const node_settings&) const = default;
};

/// One thing wrong with the file.
struct setting_fault {
    std::string m_path;    ///< a JSON pointer, "" for the whole file
    std::string m_value;   ///< what stands there, as JSON; empty where nothing does
    std::string m_allowed; ///< what is wrong and what is allowed

    bool operator==(const setting_fault&) const = default;
};

/// The fault in one line.
[[nodiscard]] std::string to_string(const setting_fault& fault);

/// The settings in `text`, or nothing and all faults.
[[nodiscard]] std::optional<node_settings> parse_settings(std::string_view text,
                                                          std::vector<setting_fault>& faults);

/// Puts the policy settings of a JSON object over those of `settings`. Its member "by_term" holds
/// objects of further policy settings by the name of a term; they apply where `settings` has it.
void parse_policy(std::string_view text, node_settings& settings,
                  std::vector<setting_fault>& faults);

/// The JSON schema of the file; each description says what is allowed.
[[nodiscard]] std::string_view settings_schema();

} // namespace pomelohead::settings
