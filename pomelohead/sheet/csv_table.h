// Parser for CSV files exported by a spreadsheet.
//
// Accepts UTF-8 with or without a byte-order mark, LF or CRLF line ends, and quoted
// cells that contain commas, quotes and line breaks. Rows are numbered as the
// spreadsheet shows them: a quoted line break does not begin a new row, and a blank
// line counts as a row.
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

/// Larger files are rejected.
inline constexpr std::size_t max_sheet_bytes = 8'000'000;
inline constexpr std::size_t max_rows = 50'000;
/// Cells in one row, including trailing empty ones.
inline constexpr std::size_t max_columns = 64;
inline constexpr std::size_t max_cell_bytes = 1'000;

/// One row of a sheet.
struct csv_row {
    std::size_t m_number = 0;         ///< from 1, as the spreadsheet shows it
    std::vector<std::string> m_cells; ///< spaces around unquoted text are removed

    bool operator==(const csv_row&) const = default;
};

/// The rows of a sheet that were parsed, and the faults of those that were not.
struct csv_table {
    std::vector<csv_row> m_rows;
    std::vector<sheet_fault> m_faults;
    bool m_complete = true; ///< false if rows are missing from m_rows

    bool operator==(const csv_table&) const = default;
};

/// Splits `bytes` into rows. `file` is only used in faults. After a row with a quoting
/// fault, parsing continues at the next line.
[[nodiscard]] csv_table read_csv(const std::string& file, std::string_view bytes);

} // namespace pomelohead::sheet
