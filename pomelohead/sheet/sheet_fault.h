// A fault in a sheet and its position.
#pragma once

#include <cstddef>
#include <string>

namespace pomelohead::sheet {

/// One fault in a sheet.
struct sheet_fault {
    std::string m_file;
    std::size_t m_row = 0;    ///< from 1, as the spreadsheet shows it; 0: the whole file
    std::size_t m_column = 0; ///< from 1; 0: the whole row
    std::string m_field;      ///< the column's name in the block's header; empty if it has none
    std::string m_text;       ///< what is wrong and what is allowed

    bool operator==(const sheet_fault&) const = default;
};

/// Returns the spreadsheet's letters for a column: 1 is "A", 27 is "AA".
[[nodiscard]] std::string column_letters(std::size_t column);

/// Returns a message such as "FILE: row 7, column C (host): must be ...".
[[nodiscard]] std::string to_sentence(const sheet_fault& fault);

} // namespace pomelohead::sheet
