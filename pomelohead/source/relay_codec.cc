#include "pomelohead/source/relay_codec.h"

#include "pomelohead/distribution/cbor_check.h"

#include <nlohmann/json.hpp>

namespace pomelohead::source {
namespace {

using json = nlohmann::json;

constexpr unsigned max_nesting_depth = 3;
constexpr std::size_t removal_field_count = 2;
constexpr std::size_t value_field_count = 5;

json item_to_json(const relayed_item& item)
{
    json out = json::array({item.m_key, item.m_revision});
    if (item.m_value) {
        const std::string& bytes = item.m_value->m_bytes;
        out.push_back(item.m_value->m_size);
        out.push_back(item.m_value->m_deflated);
        out.push_back(json::binary({bytes.begin(), bytes.end()}));
    }
    return out;
}

std::optional<relayed_item> item_from_json(const json& in)
{
    if (!in.is_array() || (in.size() != removal_field_count && in.size() != value_field_count) ||
        !in[0].is_string() || !in[1].is_number_unsigned()) {
        return std::nullopt;
    }
    relayed_item item{in[0].get<std::string>(), in[1].get<std::uint64_t>(), std::nullopt};
    if (in.size() == value_field_count) {
        if (!in[2].is_number_unsigned() || !in[3].is_boolean() || !in[4].is_binary()) {
            return std::nullopt;
        }
        const auto& bytes = in[4].get_binary();
        item.m_value = {
            {bytes.begin(), bytes.end()}, in[2].get<std::uint64_t>(), in[3].get<bool>()};
    }
    return item;
}

} // namespace

std::string encode(const relayed_changes& changes)
{
    json items = json::array();
    for (const relayed_item& item : changes.m_items) {
        items.push_back(item_to_json(item));
    }
    std::string out;
    json::to_cbor(json::array({changes.m_cursor, changes.m_revision, std::move(items)}), out);
    return out;
}

std::optional<relayed_changes> decode_changes(std::string_view bytes, reason& why)
{
    why = {reason_code::malformed, "relay response is not a CBOR list of changes"};
    if (!distribution::is_bounded_cbor(bytes, max_nesting_depth)) {
        return std::nullopt;
    }
    const json in = json::from_cbor(bytes, true, false);
    if (!in.is_array() || in.size() != 3 || !in[0].is_number_unsigned() ||
        !in[1].is_number_unsigned() || !in[2].is_array()) {
        return std::nullopt;
    }
    relayed_changes changes{in[0].get<std::uint64_t>(), in[1].get<std::uint64_t>(), {}};
    for (const json& entry : in[2]) {
        auto item = item_from_json(entry);
        if (!item) {
            return std::nullopt;
        }
        changes.m_items.push_back(std::move(*item));
    }
    return changes;
}

} // namespace pomelohead::source
