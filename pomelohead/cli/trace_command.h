// `pomelohead trace`: what the logs say of one request.
#pragma once

#include <CLI/App.hpp>

namespace pomelohead::cli {

/// Adds `trace` to `app`. It prints to std::cout and sets `exit_code`; both
/// must outlive parsing.
void add_trace_command(CLI::App& app, int& exit_code);

} // namespace pomelohead::cli
