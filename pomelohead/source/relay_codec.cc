#include "pomelohead/source/relay_codec.h"

#include "pomelohead/distribution/cbor_check.h"

#include <nlohmann/json.hpp>

namespace pomelohead::source {
namespace {

using json = nlohmann::json;

constexpr unsigned max_nesting_depth = 4;
constexpr std::size_t change_field_count = 6;
constexpr std::size_t removal_field_count = 2;
constexpr std::size_t value_field_count = 5;
constexpr std::size_t unchanged_field_count = 3;

json to_json(const store_revision& revision)
{
    return json::array({revision.m_epoch, revision.m_number});
}

// Position is a pair of numbers: store_revision or relay_cursor.
template <class Position>
std::optional<Position> position_from_json(const json& in)
{
    if (!in.is_array() || in.size() != 2 || !in[0].is_number_unsigned() ||
        !in[1].is_number_unsigned()) {
        return std::nullopt;
    }
    return Position{in[0].get<std::uint64_t>(), in[1].get<std::uint64_t>()};
}

json item_to_json(const relayed_item& item)
{
    json out = json::array({item.m_key, to_json(item.m_revision)});
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
        !in[0].is_string()) {
        return std::nullopt;
    }
    const auto revision = position_from_json<store_revision>(in[1]);
    if (!revision) {
        return std::nullopt;
    }
    relayed_item item{in[0].get<std::string>(), *revision, std::nullopt};
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

std::optional<key_revision> unchanged_from_json(const json& in)
{
    if (!in.is_array() || in.size() != unchanged_field_count || !in[0].is_string()) {
        return std::nullopt;
    }
    const auto revision = position_from_json<store_revision>(in[1]);
    const auto earlier = position_from_json<store_revision>(in[2]);
    if (!revision || !earlier) {
        return std::nullopt;
    }
    return key_revision{in[0].get<std::string>(), *revision, *earlier};
}

} // namespace

std::string encode(const relayed_changes& changes)
{
    json items = json::array();
    for (const relayed_item& item : changes.m_items) {
        items.push_back(item_to_json(item));
    }
    json unchanged = json::array();
    for (const key_revision& present : changes.m_unchanged) {
        unchanged.push_back(json::array(
            {present.m_key, to_json(present.m_revision), to_json(present.m_earlier_revision)}));
    }
    std::string out;
    json::to_cbor(json::array({json::array({changes.m_cursor.m_start, changes.m_cursor.m_number}),
                               to_json(changes.m_revision), to_json(changes.m_complete_revision),
                               std::move(items), std::move(unchanged), changes.m_relays}),
                  out);
    return out;
}

std::optional<relayed_changes> decode_changes(std::string_view bytes, reason& why)
{
    why = {reason_code::malformed, "relay response is not a CBOR list of changes"};
    if (!distribution::is_bounded_cbor(bytes, max_nesting_depth)) {
        return std::nullopt;
    }
    const json in = json::from_cbor(bytes, true, false);
    if (!in.is_array() || in.size() != change_field_count || !in[3].is_array() ||
        !in[4].is_array() || !in[5].is_array()) {
        return std::nullopt;
    }
    const auto cursor = position_from_json<relay_cursor>(in[0]);
    const auto revision = position_from_json<store_revision>(in[1]);
    const auto complete_revision = position_from_json<store_revision>(in[2]);
    if (!cursor || !revision || !complete_revision) {
        return std::nullopt;
    }
    relayed_changes changes{*cursor, *revision, *complete_revision, {}, {}, {}};
    for (const json& entry : in[3]) {
        auto item = item_from_json(entry);
        if (!item) {
            return std::nullopt;
        }
        changes.m_items.push_back(std::move(*item));
    }
    for (const json& entry : in[4]) {
        auto present = unchanged_from_json(entry);
        if (!present) {
            return std::nullopt;
        }
        changes.m_unchanged.push_back(std::move(*present));
    }
    for (const json& relay : in[5]) {
        if (!relay.is_string()) {
            return std::nullopt;
        }
        changes.m_relays.push_back(relay.get<std::string>());
    }
    return changes;
}

} // namespace pomelohead::source
