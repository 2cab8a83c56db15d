#include "pomelohead/sheet/sheet_fault.h"

namespace pomelohead::sheet {

std::string column_letters(std::size_t column)
{
    // Bijective numeration: digits run from 1 to 26, and there is no zero.
    constexpr std::size_t letters = 26;
    std::string text;
    for (; column > 0; column = (column - 1) / letters) {
        text.insert(text.begin(), static_cast<char>('A' + (column - 1) % letters));
    }
    return text;
}

std::string to_sentence(const sheet_fault& fault)
{
    std::string text = fault.m_file + ": ";
    if (fault.m_row > 0) {
        text += "row " + std::to_string(fault.m_row);
        if (fault.m_column > 0) {
            text += ", column " + column_letters(fault.m_column);
            if (!fault.m_field.empty()) {
                text += " (" + fault.m_field + ")";
            }
        }
        text += ": ";
    }
    return text + fault.m_text;
}

} // namespace pomelohead::sheet
