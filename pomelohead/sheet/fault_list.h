// The faults found so far in one sheet, at most one for each cell.
#pragma once

#include "pomelohead/sheet/sheet_fault.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pomelohead::sheet::detail {

/// Collects faults. The first fault of a cell is kept: those that follow from it
/// (a value that could not be read is out of range, too) would only distract.
class fault_list {
public:
    explicit fault_list(std::string file) : m_file(std::move(file)) {}

    /// Adds a fault as it is, unless its cell has one already.
    void add(sheet_fault fault);
    void add(std::size_t row, std::size_t column, std::string_view field, std::string text);

    [[nodiscard]] bool empty() const { return m_faults.empty(); }

    /// The faults by row and column, at most max_faults and a line about the rest.
    [[nodiscard]] std::vector<sheet_fault> take_sorted();

private:
    std::string m_file;
    std::vector<sheet_fault> m_faults;
    std::set<std::pair<std::size_t, std::size_t>> m_cells;
};

} // namespace pomelohead::sheet::detail
