// `pomelohead wait`: until a version is in force.
#pragma once

#include <CLI/App.hpp>

namespace pomelohead::cli {

/// Adds `wait` to `app`. It prints to std::cout and sets `exit_code`; both
/// must outlive parsing.
void add_wait_command(CLI::App& app, int& exit_code);

} // namespace pomelohead::cli
