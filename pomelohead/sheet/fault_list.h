// The faults found so far in one sheet, at most one for each cell.
#pragma once

#include "pomelohead/sheet/sheet_fault.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pomelohead::sheet::detail {

/// Collects faults and keeps the first one of each cell. Later faults of a cell follow
/// from its first (an unreadable value, for example, is also out of range).
class fault_list {
public:
    explicit fault_list(std::string file) : m_file(std::move(file)) {}

    /// Adds a fault unless its cell already has one.
    void add(sheet_fault fault);
    void add(std::size_t row, std::size_t column, std::string_view field, std::string text);

    [[nodiscard]] bool empty() const { return m_faults.empty(); }

    /// Moves out the faults, sorted by row and column: at most max_faults, plus one entry
    /// with the number of those omitted.
    [[nodiscard]] std::vector<sheet_fault> take_sorted();

private:
    std::string m_file;
    std::vector<sheet_fault> m_faults;
    std::set<std::pair<std::size_t, std::size_t>> m_cells_with_fault;
};

} // namespace pomelohead::sheet::detail
