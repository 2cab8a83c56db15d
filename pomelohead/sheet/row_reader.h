// Typed access to one row of a block by its header's names.
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

/// Where the columns of a block stand: number from 1 by name.
using column_map = std::map<std::string, std::size_t, std::less<>>;

/// The limit of a whole_number() that has no other.
inline constexpr std::uint32_t any_number = std::numeric_limits<std::uint32_t>::max();

/// Reads cells of one row. A cell that cannot be read becomes a fault and a default
/// value, so that the row's other cells are still checked.
class row_reader {
public:
    row_reader(const csv_row& row, const column_map& columns, fault_list& faults)
        : m_row(row), m_columns(columns), m_faults(faults)
    {
    }

    /// The row's number in the sheet.
    [[nodiscard]] std::size_t number() const { return m_row.m_number; }

    /// A cell's text; empty where the row is too short.
    [[nodiscard]] std::string text(std::string_view field) const;

    /// The text of a cell that must not be empty.
    [[nodiscard]] std::string required(std::string_view field);

    /// A whole number from 0 to `max`.
    [[nodiscard]] std::uint32_t whole_number(std::string_view field, std::uint32_t max);

    /// The position of the cell's text in `allowed`.
    [[nodiscard]] std::size_t choice(std::string_view field,
                                     std::span<const std::string_view> allowed);

    void add_fault(std::string_view field, std::string text);

private:
    const csv_row& m_row;
    const column_map& m_columns;
    fault_list& m_faults;
};

} // namespace pomelohead::sheet::detail
