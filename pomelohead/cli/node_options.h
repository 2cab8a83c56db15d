// The options that all commands which ask nodes share.
#pragma once

#include "pomelohead/cli/admin_client.h"

#include <CLI/App.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace pomelohead::cli {

/// Nodes and output form as given on the command line.
struct node_options {
    std::vector<std::string> m_nodes;
    bool m_json = false;
};

/// Adds --node and --json.
void add_node_options(CLI::App& command, node_options& options);

/// The nodes given, or 127.0.0.1 at the default port. The texts were checked by
/// the option.
[[nodiscard]] std::vector<node_address> nodes_of(const node_options& options);

/// An option's check for durations such as "500ms", "9s" or "2m"; gives milliseconds.
[[nodiscard]] CLI::Validator duration_check();

} // namespace pomelohead::cli
