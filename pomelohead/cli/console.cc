#include "pomelohead/cli/console.h"

#include <filesystem>
#include <fstream>

namespace pomelohead::cli {

std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes, reason& why)
{
    std::error_code error;
    if (std::filesystem::is_directory(path, error)) {
        why = {reason_code::invalid, path + " is a directory"};
        return std::nullopt;
    }
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        why = {reason_code::not_found, path + " cannot be opened"};
        return std::nullopt;
    }
    std::string bytes;
    // One byte above the limit tells a file of exactly that size from a larger one.
    bytes.resize(max_bytes + 1);
    in.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (in.bad()) {
        why = {reason_code::interrupted, path + " cannot be read"};
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(in.gcount()));
    if (bytes.size() > max_bytes) {
        why = {reason_code::too_large,
               path + " is larger than " + std::to_string(max_bytes) + " bytes"};
        return std::nullopt;
    }
    return bytes;
}

bool write_file(const std::string& path, std::string_view bytes, reason& why)
{
    const std::string unfinished = path + ".part";
    std::ofstream out(unfinished, std::ios::binary | std::ios::trunc);
    out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    out.close();
    std::error_code error;
    if (out) {
        std::filesystem::rename(unfinished, path, error);
    }
    if (!out || error) {
        std::error_code ignored;
        std::filesystem::remove(unfinished, ignored);
        why = {reason_code::refused, path + " cannot be written"};
        return false;
    }
    return true;
}

std::string count_of(std::size_t number, std::string_view noun)
{
    return std::to_string(number) + " " + std::string(noun) + (number == 1 ? "" : "s");
}

} // namespace pomelohead::cli
