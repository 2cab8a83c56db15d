// Arrays and numbers instead of maps with named keys keep a ping near 100 bytes. The
// number of a type is its index in the variant.
#include "pomelohead/distribution/messages.h"

#include "pomelohead/distribution/cbor_check.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace pomelohead::distribution {
namespace {

using json = nlohmann::json;

constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t hash_bytes = 32;
constexpr unsigned max_cbor_depth = 5;
constexpr std::size_t max_sections_in_answer = max_pulled_sections;

// Thrown by the nested readers and caught in decode().
struct format_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

unsigned hex_digit(char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const std::size_t value = digits.find(c);
    return value == std::string_view::npos ? 0U : static_cast<unsigned>(value);
}

// Hashes are sent as bytes, which take half the space of hex digits.
json hash_to_json(const std::string& hex)
{
    std::vector<std::uint8_t> bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        bytes.push_back(
            static_cast<std::uint8_t>((hex_digit(hex[i]) << 4U) | hex_digit(hex[i + 1])));
    }
    return json::binary(std::move(bytes));
}

// Reads the elements of one array in order; throws format_error on a mismatch.
class array_reader {
public:
    explicit array_reader(const json& value) : m_value(value)
    {
        if (!value.is_array()) {
            throw format_error("expected an array");
        }
    }

    std::uint64_t number()
    {
        const json& item = next();
        if (!item.is_number_unsigned()) {
            throw format_error("expected an unsigned number");
        }
        return item.get<std::uint64_t>();
    }

    bool flag()
    {
        const json& item = next();
        if (!item.is_boolean()) {
            throw format_error("expected true or false");
        }
        return item.get<bool>();
    }

    std::string text(std::size_t max_bytes)
    {
        const json& item = next();
        if (!item.is_string() || item.get_ref<const std::string&>().size() > max_bytes) {
            throw format_error("expected a string of at most " + std::to_string(max_bytes) +
                               " bytes");
        }
        return item.get<std::string>();
    }

    std::string address()
    {
        std::string result = text(max_name_bytes);
        boost::system::error_code error;
        boost::asio::ip::make_address(result, error);
        if (error) {
            throw format_error("expected an IP address");
        }
        return result;
    }

    std::string hash()
    {
        const json& item = next();
        if (!item.is_binary()) {
            throw format_error("expected a hash");
        }
        const auto& bytes = item.get_binary();
        if (!bytes.empty() && bytes.size() != hash_bytes) {
            throw format_error("expected a hash of 32 bytes");
        }
        constexpr std::string_view digits = "0123456789abcdef";
        std::string hex;
        for (const std::uint8_t byte : bytes) {
            hex += digits[byte >> 4U];
            hex += digits[byte & 0xfU];
        }
        return hex;
    }

    const json& array(std::size_t max_size)
    {
        const json& item = next();
        if (!item.is_array() || item.size() > max_size) {
            throw format_error("expected an array of at most " + std::to_string(max_size));
        }
        return item;
    }

    const json& next()
    {
        if (m_position == m_value.size()) {
            throw format_error("too few fields");
        }
        return m_value[m_position++];
    }

    void expect_end() const
    {
        if (m_position != m_value.size()) {
            throw format_error("too many fields");
        }
    }

private:
    const json& m_value;
    std::size_t m_position = 0;
};

json to_json(const membership::member& item)
{
    return json::array({item.m_node, item.m_address, item.m_failure_domain, item.m_region,
                        item.m_incarnation, static_cast<unsigned>(item.m_state)});
}

membership::member read_member(const json& value)
{
    array_reader in(value);
    membership::member item;
    item.m_node = in.text(max_name_bytes);
    item.m_address = in.address();
    item.m_failure_domain = in.text(max_name_bytes);
    item.m_region = in.text(max_name_bytes);
    item.m_incarnation = in.number();
    const std::uint64_t state = in.number();
    if (state > static_cast<unsigned>(membership::member_state::dead)) {
        throw format_error("unknown member state");
    }
    item.m_state = static_cast<membership::member_state>(state);
    in.expect_end();
    return item;
}

json to_json(const std::vector<membership::member>& items)
{
    json list = json::array();
    for (const membership::member& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

std::vector<membership::member> read_members(array_reader& in, std::size_t max_size)
{
    std::vector<membership::member> items;
    for (const json& value : in.array(max_size)) {
        items.push_back(read_member(value));
    }
    return items;
}

json to_json(const summary& item)
{
    const json age = item.m_source_age
                         ? json(static_cast<std::uint64_t>(item.m_source_age->count()))
                         : json(nullptr);
    return json::array({item.m_incarnation, item.m_leaving, item.m_version_in_force.m_version,
                        hash_to_json(item.m_version_in_force.m_manifest_hash), age,
                        item.m_hosts_index});
}

summary read_summary(const json& value)
{
    constexpr std::uint64_t max_age_ms = 1'000'000'000'000U; // 31 years
    array_reader in(value);
    summary item;
    item.m_incarnation = in.number();
    item.m_leaving = in.flag();
    item.m_version_in_force.m_version = in.number();
    item.m_version_in_force.m_manifest_hash = in.hash();
    if (const json& age = in.next(); age.is_number_unsigned()) {
        item.m_source_age = milliseconds(std::min(age.get<std::uint64_t>(), max_age_ms));
    }
    else if (!age.is_null()) {
        throw format_error("expected an age");
    }
    item.m_hosts_index = in.number();
    in.expect_end();
    if ((item.m_version_in_force.m_version == 0) !=
        item.m_version_in_force.m_manifest_hash.empty()) {
        throw format_error("version and hash do not go together");
    }
    return item;
}

// fields() returns the fields of a message, without its type.

json fields(const hello& m)
{
    return json::array({m.m_protocol, to_json(m.m_self)});
}
json fields(const ping& m)
{
    return json::array({m.m_sequence, to_json(m.m_summary), to_json(m.m_updates)});
}
json fields(const ack& m)
{
    return json::array({m.m_sequence, to_json(m.m_summary), to_json(m.m_updates)});
}
json fields(const ping_request& m)
{
    return json::array({m.m_sequence, m.m_target});
}
json fields(const indirect_ack& m)
{
    return json::array({m.m_sequence, m.m_target});
}
json fields(const notice& m)
{
    return json::array({to_json(m.m_summary), to_json(m.m_updates), m.m_reply_requested});
}
json fields(const join_request&)
{
    return json::array();
}
json fields(const member_list& m)
{
    return json::array({to_json(m.m_summary), to_json(m.m_members)});
}
json fields(const pull& m)
{
    json hashes = json::array();
    for (const std::string& hash : m.m_section_hashes) {
        hashes.push_back(hash_to_json(hash));
    }
    return json::array({hash_to_json(m.m_manifest_hash), hashes, m.m_hosts});
}
json fields(const manifest_value& m)
{
    return json::array({hash_to_json(m.m_hash), m.m_bytes});
}
json fields(const section_values& m)
{
    return json::array({json(m.m_sections)});
}
json fields(const hosts_value& m)
{
    return json::array({m.m_index, m.m_bytes});
}

void read(array_reader& in, hello& m)
{
    m.m_protocol = in.number();
    if (m.m_protocol != protocol_version) {
        throw format_error("protocol " + std::to_string(m.m_protocol) + " is not supported, only " +
                           std::to_string(protocol_version));
    }
    m.m_self = read_member(in.next());
}
void read(array_reader& in, ping& m)
{
    m.m_sequence = in.number();
    m.m_summary = read_summary(in.next());
    m.m_updates = read_members(in, max_piggyback);
}
void read(array_reader& in, ack& m)
{
    m.m_sequence = in.number();
    m.m_summary = read_summary(in.next());
    m.m_updates = read_members(in, max_piggyback);
}
void read(array_reader& in, ping_request& m)
{
    m.m_sequence = in.number();
    m.m_target = in.address();
}
void read(array_reader& in, indirect_ack& m)
{
    m.m_sequence = in.number();
    m.m_target = in.address();
}
void read(array_reader& in, notice& m)
{
    m.m_summary = read_summary(in.next());
    m.m_updates = read_members(in, max_piggyback);
    m.m_reply_requested = in.flag();
}
void read(array_reader&, join_request&)
{
}
void read(array_reader& in, member_list& m)
{
    m.m_summary = read_summary(in.next());
    m.m_members = read_members(in, max_listed_members);
}
void read(array_reader& in, pull& m)
{
    m.m_manifest_hash = in.hash();
    const json& list = in.array(max_pulled_sections);
    array_reader hashes(list);
    for (std::size_t i = 0; i < list.size(); ++i) {
        m.m_section_hashes.push_back(hashes.hash());
    }
    m.m_hosts = in.flag();
}
void read(array_reader& in, manifest_value& m)
{
    m.m_hash = in.hash();
    m.m_bytes = in.text(config::max_value_bytes);
}
void read(array_reader& in, section_values& m)
{
    const json& list = in.array(max_sections_in_answer);
    array_reader values(list);
    for (std::size_t i = 0; i < list.size(); ++i) {
        m.m_sections.push_back(values.text(config::max_value_bytes));
    }
}
void read(array_reader& in, hosts_value& m)
{
    m.m_index = in.number();
    m.m_bytes = in.text(config::max_value_bytes);
}

// Reads a message of the type with the number `wanted_type`; recursive over `Index`.
template <std::size_t Index = 0>
message read_type(std::uint64_t wanted_type, const json& value)
{
    if constexpr (Index == std::variant_size_v<message>) {
        throw format_error("unknown message type " + std::to_string(wanted_type));
    }
    else {
        if (wanted_type != Index) {
            return read_type<Index + 1>(wanted_type, value);
        }
        std::variant_alternative_t<Index, message> item;
        array_reader in(value);
        read(in, item);
        in.expect_end();
        return item;
    }
}

} // namespace

std::string encode(const message& item)
{
    json value = json::array(
        {item.index(), std::visit([](const auto& typed) { return fields(typed); }, item)});
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

std::optional<message> decode(std::string_view bytes, reason& why)
{
    if (bytes.size() > max_message_bytes) {
        why = {reason_code::too_large,
               "message exceeds " + std::to_string(max_message_bytes) + " bytes"};
        return std::nullopt;
    }
    if (!is_bounded_cbor(bytes, max_cbor_depth)) {
        why = {reason_code::malformed, "message is not one whole CBOR item within its bounds"};
        return std::nullopt;
    }
    const json value = json::from_cbor(bytes, true, false);
    try {
        array_reader in(value);
        const std::uint64_t type = in.number();
        message item = read_type(type, in.next());
        in.expect_end();
        return item;
    }
    catch (const format_error& error) {
        why = {reason_code::malformed, std::string("message: ") + error.what()};
        return std::nullopt;
    }
}

} // namespace pomelohead::distribution
