// `pomelohead status`: GET /status and GET /latency of running nodes.
#pragma once

#include <CLI/App.hpp>

namespace pomelohead::cli {

/// Adds `status` to `app`. It prints to std::cout and sets `exit_code`; both
/// must outlive parsing.
void add_status_command(CLI::App& app, int& exit_code);

} // namespace pomelohead::cli
