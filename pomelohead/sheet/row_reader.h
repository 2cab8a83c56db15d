// Typed access to the cells of one row by column name.
#pragma once

#include "pomelohead/sheet/csv_table.h"
#include "pomelohead/sheet/fault_list.h"

#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace pomelohead::sheet::detail {

/// Column numbers of a block, from 1, by column name.
using column_map = std::map<std::string, std::size_t, std::less<>>;

/// Passed to whole_number() for a cell whose range is checked later.
inline constexpr std::uint32_t no_limit = std::numeric_limits<std::uint32_t>::max();

/// Reads the cells of one row. For an invalid cell it records a fault and returns a
/// default value, so that the row's other cells are still checked.
class row_reader {
public:
    row_reader(const csv_row& row, const column_map& columns, fault_list& faults)
        : m_row(row), m_columns(columns), m_faults(faults)
    {
    }

    /// Returns the row's number in the sheet, from 1.
    [[nodiscard]] std::size_t number() const { return m_row.m_number; }

    /// Returns a cell's text; empty if the row has no such cell.
    [[nodiscard]] std::string text(std::string_view field) const;

    /// Returns a cell's text; an empty cell is a fault.
    [[nodiscard]] std::string required(std::string_view field);

    /// Parses a whole number from 0 to `max`.
    [[nodiscard]] std::uint32_t whole_number(std::string_view field, std::uint32_t max);

    /// Returns the index of the cell's text in `allowed`; any other text is a fault.
    [[nodiscard]] std::size_t choice_index(std::string_view field,
                                           std::span<const std::string_view> allowed);

    void add_fault(std::string_view field, std::string text);

private:
    const csv_row& m_row;
    const column_map& m_columns;
    fault_list& m_faults;
};

} // namespace pomelohead::sheet::detail
