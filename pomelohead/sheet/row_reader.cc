#include "pomelohead/sheet/row_reader.h"

#include <algorithm>
#include <charconv>

namespace pomelohead::sheet::detail {

std::string row_reader::text(std::string_view field) const
{
    const auto it = m_columns.find(field);
    if (it == m_columns.end() || it->second > m_row.m_cells.size()) {
        return {};
    }
    return m_row.m_cells[it->second - 1];
}

std::string row_reader::required(std::string_view field)
{
    std::string value = text(field);
    if (value.empty()) {
        add_fault(field, "is empty");
    }
    return value;
}

std::uint32_t row_reader::whole_number(std::string_view field, std::uint32_t max)
{
    const std::string value = required(field);
    std::uint32_t number = 0;
    const char* const end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc() || stop != end || number > max) {
        const std::string limit = max < no_limit ? " up to " + std::to_string(max) : "";
        add_fault(field, "must be a whole number" + limit + ", not '" + value + "'");
        return 0;
    }
    return number;
}

std::size_t row_reader::choice_index(std::string_view field,
                                     std::span<const std::string_view> allowed)
{
    const std::string value = required(field);
    const auto it = std::ranges::find(allowed, value);
    if (it != allowed.end()) {
        return static_cast<std::size_t>(it - allowed.begin());
    }
    std::string names;
    for (const std::string_view name : allowed) {
        names += names.empty() ? "" : name == allowed.back() ? " or " : ", ";
        names += name;
    }
    add_fault(field, "must be " + names + ", not '" + value + "'");
    return 0;
}

void row_reader::add_fault(std::string_view field, std::string text)
{
    const auto it = m_columns.find(field);
    m_faults.add(number(), it == m_columns.end() ? 0 : it->second, field, std::move(text));
}

} // namespace pomelohead::sheet::detail
