// Aligned columns for the terminal.
//
//     text_table table({"NODE", "VERSION"});
//     table.add({"rota-1", "7"});
//     std::cout << table.str();
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::cli {

/// The characters of a UTF-8 text; enough for alignment of Latin scripts.
[[nodiscard]] std::size_t character_count(std::string_view text);

/// `text`, with spaces after it up to `width` characters.
[[nodiscard]] std::string padded(std::string_view text, std::size_t width);

/// A table of texts. Rows have as many cells as the header.
class text_table {
public:
    explicit text_table(std::vector<std::string> header) { add(std::move(header)); }

    void add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }

    /// The table, one row a line, without trailing spaces.
    [[nodiscard]] std::string str() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace pomelohead::cli
