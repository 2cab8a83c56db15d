#include "pomelohead/outcome/mark_codec.h"

#include "pomelohead/distribution/cbor_check.h"

#include <nlohmann/json.hpp>

namespace pomelohead::outcome {
namespace {

using nlohmann::json;

constexpr unsigned max_nesting_depth = 2; // a list of maps
constexpr std::size_t max_text_bytes = 256;
constexpr milliseconds max_left = std::chrono::hours(24);
constexpr std::size_t fields_per_mark = 5;

bool read_text(const json& value, std::string& text)
{
    if (!value.is_string() || value.get_ref<const std::string&>().size() > max_text_bytes) {
        return false;
    }
    text = value.get<std::string>();
    return !text.empty();
}

std::optional<crash_mark> read_mark(const json& value)
{
    if (!value.is_object() || value.size() != fields_per_mark) {
        return std::nullopt;
    }
    const auto field = [&value](const char* name) { return value.value(name, json()); };
    const json alone = field("alone");
    const json cleared = field("cleared");
    const json left = field("left_ms");
    crash_mark mark;
    if (!read_text(field("fingerprint"), mark.m_fingerprint) ||
        !read_text(field("crash"), mark.m_crash) || !alone.is_boolean() || !cleared.is_boolean() ||
        !left.is_number_unsigned() ||
        left.get<std::uint64_t>() > static_cast<std::uint64_t>(max_left.count())) {
        return std::nullopt;
    }
    mark.m_sole_in_flight = alone.get<bool>();
    mark.m_cleared = cleared.get<bool>();
    mark.m_time_left = milliseconds(left.get<std::uint64_t>());
    return mark;
}

} // namespace

std::string encode_marks(const std::vector<crash_mark>& marks)
{
    json list = json::array();
    for (const crash_mark& mark : marks) {
        const auto left =
            static_cast<std::uint64_t>(std::max<std::int64_t>(mark.m_time_left.count(), 0));
        list.push_back({{"fingerprint", mark.m_fingerprint},
                        {"crash", mark.m_crash},
                        {"alone", mark.m_sole_in_flight},
                        {"cleared", mark.m_cleared},
                        {"left_ms", left}});
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(list);
    return {bytes.begin(), bytes.end()};
}

std::optional<std::vector<crash_mark>> decode_marks(std::string_view bytes, reason& why)
{
    const json list = distribution::is_bounded_cbor(bytes, max_nesting_depth)
                          ? json::from_cbor(bytes, true, false)
                          : json(json::value_t::discarded);
    if (!list.is_array()) {
        why = {reason_code::malformed, "message is not a CBOR list of crash marks"};
        return std::nullopt;
    }
    if (list.size() > max_marks_per_message) {
        why = {reason_code::too_large, "message has more than 1000 crash marks"};
        return std::nullopt;
    }
    std::vector<crash_mark> marks;
    for (const json& item : list) {
        std::optional<crash_mark> mark = read_mark(item);
        if (!mark) {
            why = {reason_code::malformed, "crash mark has a missing, unknown or invalid field"};
            return std::nullopt;
        }
        marks.push_back(std::move(*mark));
    }
    return marks;
}

} // namespace pomelohead::outcome
