// What a node tells another one about the relays of a failure domain.
//
// A node that starts knows no other node but the seeds of its settings. A seed answers with the
// members of the asker's failure domain and with those that are known to be able to relay; a
// member that does not relay answers with the ones it knows. Both are hints: the asker still
// queries the relay itself, and a wrong hint costs it one call.
//
//     std::string body = encode(referral{.m_members = hosts, .m_relays = relays});
//     reason why;
//     std::optional<referral> hints = decode_referral(body, why);
#pragma once

#include "pomelohead/runtime/reason.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::discovery {

struct referral {
    std::vector<std::string> m_members; ///< IP addresses; empty if the node was not asked for them
    std::vector<std::string> m_relays;  ///< IP addresses of nodes that can relay

    bool operator==(const referral&) const = default;
};

/// Whether `text` is an IP address. Others are not taken from messages.
[[nodiscard]] bool is_ip_address(const std::string& text);

/// Encodes as a CBOR array [members, relays] of texts.
[[nodiscard]] std::string encode(const referral& hints);

/// Fails with malformed if `bytes` is not such an array of IP addresses.
[[nodiscard]] std::optional<referral> decode_referral(std::string_view bytes, reason& why);

} // namespace pomelohead::discovery
