// `pomelohead explain`: which route and target a request would get.
#pragma once

#include <CLI/App.hpp>

namespace pomelohead::cli {

/// Adds `explain` to `app`. It prints to std::cout and sets `exit_code`; both
/// must outlive parsing.
void add_explain_command(CLI::App& app, int& exit_code);

} // namespace pomelohead::cli
