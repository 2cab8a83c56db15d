#include "pomelohead/cli/text_table.h"

#include <algorithm>

namespace pomelohead::cli {
namespace {

constexpr std::size_t column_gap = 2;

} // namespace

std::size_t character_count(std::string_view text)
{
    // Every character has one byte that is no continuation byte (10xxxxxx).
    return static_cast<std::size_t>(std::ranges::count_if(
        text, [](char c) { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; }));
}

std::string padded(std::string_view text, std::size_t width)
{
    const std::size_t count = character_count(text);
    return std::string(text) + std::string(count < width ? width - count : 0, ' ');
}

std::string text_table::str() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const std::vector<std::string>& row : m_rows) {
        for (std::size_t i = 0; i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], character_count(row.at(i)));
        }
    }
    std::string text;
    for (const std::vector<std::string>& row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < widths.size(); ++i) {
            line += padded(row.at(i), widths[i] + column_gap);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

} // namespace pomelohead::cli
