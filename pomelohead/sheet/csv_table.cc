// Parses RFC 4180 with libcsv in strict mode. Only LF ends a row and CR is treated as
// a space, so that CRLF and LF files get the same row numbers. libcsv reports blank
// lines too (CSV_REPALL_NL), because spreadsheets number them.
#include "pomelohead/sheet/csv_table.h"

#include <csv.h>

#include <algorithm>
#include <stdexcept>

namespace pomelohead::sheet {
namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::string_view utf16_byte_order_marks[] = {"\xFF\xFE", "\xFE\xFF"};

int is_cell_space(unsigned char c)
{
    return c == CSV_SPACE || c == CSV_TAB || c == CSV_CR ? 1 : 0;
}

int is_row_end(unsigned char c)
{
    return c == CSV_LF ? 1 : 0;
}

// Returns the length of the UTF-8 sequence with the lead byte `lead`; 0 if `lead` is
// not a valid lead byte.
std::size_t sequence_length(unsigned char lead)
{
    if (lead < 0x80) {
        return 1;
    }
    if (lead >= 0xC2 && lead <= 0xDF) {
        return 2;
    }
    if (lead >= 0xE0 && lead <= 0xEF) {
        return 3;
    }
    return lead >= 0xF0 && lead <= 0xF4 ? 4 : 0;
}

// Overlong encodings, surrogates and values above U+10FFFF are recognised by the
// second byte.
bool is_allowed_second_byte(unsigned char lead, unsigned char second)
{
    switch (lead) {
    case 0xE0:
        return second >= 0xA0;
    case 0xED:
        return second <= 0x9F;
    case 0xF0:
        return second >= 0x90;
    case 0xF4:
        return second <= 0x8F;
    default:
        return true;
    }
}

bool is_utf8(std::string_view text)
{
    for (std::size_t i = 0; i < text.size();) {
        const auto lead = static_cast<unsigned char>(text[i]);
        const std::size_t length = sequence_length(lead);
        if (length == 0 || text.size() - i < length) {
            return false;
        }
        for (std::size_t k = 1; k < length; ++k) {
            const auto next = static_cast<unsigned char>(text[i + k]);
            if (next < 0x80 || next > 0xBF || (k == 1 && !is_allowed_second_byte(lead, next))) {
                return false;
            }
        }
        i += length;
    }
    return true;
}

class csv_reader {
public:
    explicit csv_reader(const std::string& file) : m_file(file) { start(); }
    csv_reader(const csv_reader&) = delete;
    csv_reader& operator=(const csv_reader&) = delete;
    ~csv_reader() { csv_free(&m_parser); }

    csv_table read(std::string_view bytes)
    {
        while (!bytes.empty() && !m_stopped) {
            const std::size_t used =
                csv_parse(&m_parser, bytes.data(), bytes.size(), on_cell, on_row, this);
            if (used == bytes.size()) {
                break;
            }
            bytes = skip_malformed_row(bytes, used);
        }
        if (!m_stopped && csv_fini(&m_parser, on_cell, on_row, this) != 0) {
            reject_row("a quoted cell is not closed before the end of the file");
        }
        return std::move(m_table);
    }

private:
    void start()
    {
        if (csv_init(&m_parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0) {
            throw std::logic_error("csv_init rejected the parser options");
        }
        csv_set_space_func(&m_parser, is_cell_space);
        csv_set_term_func(&m_parser, is_row_end);
    }

    // Records a quoting fault and returns the bytes after the line that contains it.
    std::string_view skip_malformed_row(std::string_view bytes, std::size_t used)
    {
        reject_row(
            "a quoted cell is followed by text, or contains an unescaped quote mark; inside a "
            "quoted cell write \" as \"\"");
        csv_free(&m_parser);
        start();
        const std::size_t end = bytes.find('\n', used);
        return end == std::string_view::npos ? std::string_view{} : bytes.substr(end + 1);
    }

    void reject_row(const char* text)
    {
        add_fault(m_cells.size() + 1, text);
        m_table.m_complete = false;
        m_cells.clear();
        m_columns = 0;
        ++m_number;
    }

    static void on_cell(void* text, std::size_t size, void* self)
    {
        static_cast<csv_reader*>(self)->add_cell({static_cast<const char*>(text), size});
    }

    static void on_row(int /*end*/, void* self) { static_cast<csv_reader*>(self)->end_row(); }

    void add_cell(std::string_view text)
    {
        ++m_columns;
        if (m_columns > max_columns) {
            return;
        }
        if (text.size() > max_cell_bytes) {
            add_fault(m_columns, "contains " + std::to_string(text.size()) +
                                     " bytes; the limit is " + std::to_string(max_cell_bytes));
            text = {};
        }
        else if (!is_utf8(text)) {
            add_fault(m_columns, "is not UTF-8; export the sheet as CSV UTF-8");
            text = {};
        }
        m_cells.emplace_back(text);
    }

    void end_row()
    {
        if (m_columns > max_columns) {
            add_fault(0, "has " + std::to_string(m_columns) + " cells; the limit is " +
                             std::to_string(max_columns));
        }
        if (m_number > max_rows && !m_stopped) {
            add_fault(0, "the sheet has more than " + std::to_string(max_rows) + " rows");
            m_table.m_complete = false;
            m_stopped = true;
        }
        if (!m_stopped) {
            m_table.m_rows.push_back({m_number, std::move(m_cells)});
        }
        m_cells.clear();
        m_columns = 0;
        ++m_number;
    }

    void add_fault(std::size_t column, std::string text)
    {
        m_table.m_faults.push_back({.m_file = m_file,
                                    .m_row = m_number,
                                    .m_column = column,
                                    .m_field = {},
                                    .m_text = std::move(text)});
    }

    const std::string& m_file;
    csv_parser m_parser{};
    csv_table m_table;
    std::vector<std::string> m_cells;
    std::size_t m_columns = 0;
    std::size_t m_number = 1;
    bool m_stopped = false;
};

csv_table rejected_table(const std::string& file, std::string text)
{
    csv_table table;
    table.m_faults.push_back({.m_file = file, .m_field = {}, .m_text = std::move(text)});
    table.m_complete = false;
    return table;
}

} // namespace

csv_table read_csv(const std::string& file, std::string_view bytes)
{
    if (bytes.size() > max_sheet_bytes) {
        return rejected_table(file, "contains " + std::to_string(bytes.size()) +
                                        " bytes; the limit is " + std::to_string(max_sheet_bytes));
    }
    if (std::ranges::any_of(utf16_byte_order_marks,
                            [&](auto mark) { return bytes.starts_with(mark); })) {
        return rejected_table(file, "is UTF-16; export the sheet as CSV UTF-8");
    }
    if (bytes.starts_with(byte_order_mark)) {
        bytes.remove_prefix(byte_order_mark.size());
    }
    return csv_reader(file).read(bytes);
}

} // namespace pomelohead::sheet
