#include "pomelohead/node/quarantine_news.h"

#include <nlohmann/json.hpp>

namespace pomelohead::node {
namespace {

using nlohmann::json;

constexpr std::size_t fields_of_mark = 5;
constexpr std::size_t max_text_bytes = 256;
constexpr std::uint64_t max_left_ms = 24ULL * 3600 * 1000;

bool is_mark(const json& value)
{
    return value.is_array() && value.size() == fields_of_mark && value[0].is_string() &&
           value[0].get_ref<const std::string&>().size() <= max_text_bytes &&
           value[1].is_string() &&
           value[1].get_ref<const std::string&>().size() <= max_text_bytes &&
           value[2].is_boolean() && value[3].is_boolean() && value[4].is_number_unsigned() &&
           value[4].get<std::uint64_t>() <= max_left_ms;
}

} // namespace

std::string encode_quarantine_news(const std::vector<outcome::crash_mark>& marks)
{
    json list = json::array();
    for (const outcome::crash_mark& mark : marks) {
        const auto left =
            static_cast<std::uint64_t>(std::max<std::int64_t>(mark.m_left.count(), 0));
        list.push_back({mark.m_fingerprint, mark.m_crash, mark.m_alone, mark.m_cleared, left});
    }
    std::string bytes;
    json::to_cbor(list, bytes);
    return bytes;
}

std::optional<std::vector<outcome::crash_mark>> decode_quarantine_news(const std::string& bytes,
                                                                       reason& why)
{
    const json list = json::from_cbor(bytes, true, false);
    if (!list.is_array() || list.size() > max_quarantine_news) {
        why = {reason_code::malformed, "quarantine news is not a list of at most 20 marks"};
        return std::nullopt;
    }
    std::vector<outcome::crash_mark> marks;
    for (const json& value : list) {
        if (!is_mark(value)) {
            why = {reason_code::malformed, "quarantine news has a malformed mark"};
            return std::nullopt;
        }
        marks.push_back({.m_fingerprint = value[0],
                         .m_crash = value[1],
                         .m_alone = value[2],
                         .m_cleared = value[3],
                         .m_left = milliseconds(value[4].get<std::uint64_t>())});
    }
    return marks;
}

} // namespace pomelohead::node
