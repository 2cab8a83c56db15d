// What the subcommands of the command line share: exit codes, files and JSON lists.
#pragma once

#include "pomelohead/runtime/reason.h"

#include <optional>
#include <string>
#include <string_view>

namespace pomelohead::cli {

/// Exit codes of all subcommands; each one's --help says what they mean there.
enum exit_code : int {
    exit_good = 0,
    exit_found = 1,    ///< faults, differences, or a condition that does not hold
    exit_unusable = 2, ///< wrong usage, an unreadable file, no answer
};

/// The bytes of a file of at most `max_bytes`.
[[nodiscard]] std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes,
                                                   reason& why);

/// Writes a file whole or not at all: a reader never sees part of it under `path`.
[[nodiscard]] bool write_file(const std::string& path, std::string_view bytes, reason& why);

/// "1 fault", "3 faults".
[[nodiscard]] std::string count_of(std::size_t number, std::string_view noun);

} // namespace pomelohead::cli
