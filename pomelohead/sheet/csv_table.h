// Rows of cells, as a spreadsheet exports them.
//
// Accepts UTF-8 with or without a byte-order mark, LF or CRLF line ends, quoted
// cells with commas, quotes and line breaks in them. Rows are numbered as the
// spreadsheet shows them: a quoted line break does not begin a row, a blank line
// is one.
//
//     csv_table table = read_csv("gwynedd.csv", bytes);
//     for (const csv_row& row : table.m_rows) {
//         use(row.m_number, row.m_cells);
//     }
#pragma once

#include "pomelohead/sheet/sheet_fault.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::sheet {

/// The largest sheet that is read.
inline constexpr std::size_t max_sheet_bytes = 8'000'000;
inline constexpr std::size_t max_rows = 50'000;
/// Cells of one row, trailing empty ones included.
inline constexpr std::size_t max_columns = 64;
inline constexpr std::size_t max_cell_bytes = 1'000;

/// One row of a sheet.
struct csv_row {
    std::size_t m_number = 0;         ///< from 1, as the spreadsheet shows it
    std::vector<std::string> m_cells; ///< without spaces around unquoted text

    bool operator==(const csv_row&) const = default;
};

/// The readable rows of a sheet, and what could not be read.
struct csv_table {
    std::vector<csv_row> m_rows;
    std::vector<sheet_fault> m_faults;
    bool m_complete = true; ///< false where rows are missing from m_rows

    bool operator==(const csv_table&) const = default;
};

/// Splits `bytes` into rows. `file` is used in faults only. Reading goes on at the
/// next line after a row with a quoting fault.
[[nodiscard]] csv_table read_csv(const std::string& file, std::string_view bytes);

} // namespace pomelohead::sheet
