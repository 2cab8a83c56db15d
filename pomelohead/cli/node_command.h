// `pomelohead node`: runs the node of this host.
#pragma once

#include <CLI/App.hpp>

namespace pomelohead::cli {

/// Adds the subcommand to `app`; running it sets `exit_code`.
void add_node_command(CLI::App& app, int& exit_code);

} // namespace pomelohead::cli
