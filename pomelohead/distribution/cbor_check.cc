// Item headers follow RFC 8949, section 3: three bits for the major type and five bits for
// the argument or its size.
#include "pomelohead/distribution/cbor_check.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace pomelohead::distribution {
namespace {

enum major_type : unsigned {
    bytes_type = 2,
    text_type = 3,
    array_type = 4,
    map_type = 5,
    tag_type = 6,
};

struct header {
    unsigned m_major = 0;
    std::uint64_t m_argument = 0;
};

// Reads the item header at `position` and advances past it.
std::optional<header> read_header(std::string_view bytes, std::size_t& position)
{
    constexpr unsigned argument_mask = 0x1fU;
    constexpr unsigned first_sized = 24; // arguments 24 to 27: 1, 2, 4 or 8 bytes follow
    constexpr unsigned last_sized = 27;
    if (position >= bytes.size()) {
        return std::nullopt;
    }
    const auto first = static_cast<unsigned char>(bytes[position++]);
    header result{static_cast<unsigned>(first) >> 5U, first & argument_mask};
    if (result.m_argument < first_sized) {
        return result;
    }
    if (result.m_argument > last_sized) {
        return std::nullopt;
    }
    const std::size_t size = std::size_t{1} << (result.m_argument - first_sized);
    if (bytes.size() - position < size) {
        return std::nullopt;
    }
    result.m_argument = 0;
    for (std::size_t i = 0; i < size; ++i) {
        result.m_argument =
            (result.m_argument << 8U) | static_cast<unsigned char>(bytes[position++]);
    }
    return result;
}

} // namespace

bool is_bounded_cbor(std::string_view bytes, unsigned max_depth)
{
    std::size_t position = 0;
    std::vector<std::uint64_t> remaining_items{1}; // at each depth
    while (!remaining_items.empty()) {
        if (remaining_items.back() == 0) {
            remaining_items.pop_back();
            continue;
        }
        --remaining_items.back();
        const std::optional<header> item = read_header(bytes, position);
        if (!item || item->m_major == tag_type) {
            return false;
        }
        const std::size_t remaining_bytes = bytes.size() - position;
        if (item->m_major == bytes_type || item->m_major == text_type) {
            if (item->m_argument > remaining_bytes) {
                return false;
            }
            position += item->m_argument;
        }
        else if (item->m_major == array_type || item->m_major == map_type) {
            if (item->m_argument > remaining_bytes || remaining_items.size() > max_depth) {
                return false;
            }
            remaining_items.push_back(item->m_major == map_type ? 2 * item->m_argument
                                                                : item->m_argument);
        }
    }
    return position == bytes.size();
}

} // namespace pomelohead::distribution
