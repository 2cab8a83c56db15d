// `pomelohead node`: runs the node of this host.
#pragma once

#include <CLI/App.hpp>

namespace pomelohead::cli {

/// Holds back the signals that a node handles until it handles them, so that one that comes during
/// the start is not lost and does not end the process, and ignores SIGPIPE. Called first of all by
/// the program that runs the subcommand, before any thread is started.
void hold_signals();

/// Adds the subcommand to `app`; running it sets `exit_code`.
void add_node_command(CLI::App& app, int& exit_code);

} // namespace pomelohead::cli
