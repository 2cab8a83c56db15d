#include "pomelohead/discovery/referral.h"

#include "pomelohead/distribution/cbor_check.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

namespace pomelohead::discovery {
namespace {

using json = nlohmann::json;

constexpr unsigned max_nesting_depth = 2;

std::optional<std::vector<std::string>> addresses_from_json(const json& in)
{
    if (!in.is_array()) {
        return std::nullopt;
    }
    std::vector<std::string> out;
    for (const json& entry : in) {
        if (!entry.is_string() || !is_ip_address(entry.get_ref<const std::string&>())) {
            return std::nullopt;
        }
        out.push_back(entry.get<std::string>());
    }
    return out;
}

} // namespace

bool is_ip_address(const std::string& text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error;
}

std::string encode(const referral& hints)
{
    std::string out;
    json::to_cbor(json::array({hints.m_members, hints.m_relays}), out);
    return out;
}

std::optional<referral> decode_referral(std::string_view bytes, reason& why)
{
    why = {reason_code::malformed, "referral is not a CBOR array of two address lists"};
    if (!distribution::is_bounded_cbor(bytes, max_nesting_depth)) {
        return std::nullopt;
    }
    const json in = json::from_cbor(bytes, true, false);
    if (!in.is_array() || in.size() != 2) {
        return std::nullopt;
    }
    auto members = addresses_from_json(in[0]);
    auto relays = addresses_from_json(in[1]);
    if (!members || !relays) {
        return std::nullopt;
    }
    return referral{std::move(*members), std::move(*relays)};
}

} // namespace pomelohead::discovery
