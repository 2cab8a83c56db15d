// What is wrong with a sheet, and where.
#pragma once

#include <cstddef>
#include <string>

namespace pomelohead::sheet {

/// One fault of a sheet.
struct sheet_fault {
    std::string m_file;
    std::size_t m_row = 0;    ///< from 1, as the spreadsheet shows it; 0: the whole file
    std::size_t m_column = 0; ///< from 1; 0: the whole row
    std::string m_field;      ///< the column's name in the block's header; may be empty
    std::string m_text;       ///< what is wrong and what is allowed

    bool operator==(const sheet_fault&) const = default;
};

/// The letters by which spreadsheets name a column: 1 is "A", 27 is "AA".
[[nodiscard]] std::string column_letters(std::size_t column);

/// "FILE: row 7, column C (host): must be ..." for people.
[[nodiscard]] std::string to_sentence(const sheet_fault& fault);

} // namespace pomelohead::sheet
