#include "pomelohead/distribution/hosts.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

namespace pomelohead::distribution {
namespace {

using json = nlohmann::json;

std::string text_of(const json& item, const char* field)
{
    const auto it = item.find(field);
    return it != item.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::nullopt_t fail(reason& why, std::string text)
{
    why = {reason_code::malformed, "host list: " + std::move(text)};
    return std::nullopt;
}

} // namespace

std::optional<std::vector<listed_host>> parse_hosts(std::string_view bytes, reason& why)
{
    const json list = json::parse(bytes, nullptr, false);
    if (!list.is_array()) {
        return fail(why, "is not a JSON list, or is cut short");
    }
    if (list.size() > max_listed_hosts) {
        return fail(why, "has more than " + std::to_string(max_listed_hosts) + " hosts");
    }
    std::vector<listed_host> hosts;
    for (const json& item : list) {
        if (!item.is_object()) {
            return fail(why, "has a line that is not an object");
        }
        const std::string state = text_of(item, "state");
        listed_host host{text_of(item, "host"), text_of(item, "address"),
                         text_of(item, "failure_domain"), text_of(item, "region"),
                         state == "leaving"};
        boost::system::error_code error;
        boost::asio::ip::make_address(host.m_address, error);
        if (error) {
            return fail(why, "address '" + host.m_address + "' is not an IP address");
        }
        if (state != "live" && state != "leaving") {
            return fail(why, "state must be live or leaving, not '" + state + "'");
        }
        hosts.push_back(std::move(host));
    }
    return hosts;
}

} // namespace pomelohead::distribution
