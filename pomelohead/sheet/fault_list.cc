#include "pomelohead/sheet/fault_list.h"

#include "pomelohead/sheet/sheet.h"

#include <algorithm>
#include <tuple>

namespace pomelohead::sheet::detail {

void fault_list::add(sheet_fault fault)
{
    const bool is_cell = fault.m_column > 0;
    if (is_cell && !m_cells_with_fault.insert({fault.m_row, fault.m_column}).second) {
        return;
    }
    m_faults.push_back(std::move(fault));
}

void fault_list::add(std::size_t row, std::size_t column, std::string_view field, std::string text)
{
    add({.m_file = m_file,
         .m_row = row,
         .m_column = column,
         .m_field = std::string(field),
         .m_text = std::move(text)});
}

std::vector<sheet_fault> fault_list::take_sorted()
{
    std::ranges::stable_sort(m_faults, {}, [](const sheet_fault& fault) {
        return std::tuple(fault.m_row, fault.m_column);
    });
    if (m_faults.size() > max_faults) {
        const std::size_t more = m_faults.size() - max_faults;
        m_faults.resize(max_faults);
        m_faults.push_back({.m_file = m_file,
                            .m_field = {},
                            .m_text = "and " + std::to_string(more) + " more faults"});
    }
    return std::move(m_faults);
}

} // namespace pomelohead::sheet::detail
