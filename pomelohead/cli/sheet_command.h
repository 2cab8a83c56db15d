// `pomelohead sheet check | build | diff`: from the operators' sheet to a bundle.
//
// These commands read and write files only. The operators publish what `build`
// writes by the platform's own means: the sections first, the manifest last.
#pragma once

#include <CLI/App.hpp>

namespace pomelohead::cli {

/// Adds `sheet` and its subcommands to `app`. They print to std::cout, report
/// unreadable files on std::cerr, and set `exit_code`; both must outlive parsing.
void add_sheet_command(CLI::App& app, int& exit_code);

} // namespace pomelohead::cli
