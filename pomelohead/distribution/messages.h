// The messages between nodes and their encoding.
//
// Messages are independent of each other and may be lost, duplicated and reordered; a
// request that times out is sent again. On the wire each message is one WebSocket message
// with a CBOR array: the number of the type, then the array of its fields in order. The
// first message on a connection, in each direction, is a hello with the protocol version.
//
//     std::string bytes = encode(ping{.m_sequence = 7, .m_summary = mine});
//     reason why;
//     if (std::optional<message> received = decode(bytes, why)) { ... }
#pragma once

#include "pomelohead/distribution/version_gate.h"
#include "pomelohead/membership/member.h"
#include "pomelohead/runtime/timer_service.h"

#include <variant>

namespace pomelohead::distribution {

/// Nodes with different protocol versions reject each other's messages.
inline constexpr std::uint64_t protocol_version = 1;

/// Maximum size of a message: one value of the configuration service, plus overhead.
inline constexpr std::size_t max_message_bytes = config::max_value_bytes + 16'384;

/// Maximum of member updates in one ping, ack or notice.
inline constexpr std::size_t max_piggyback = 8;

/// Maximum of members in one member_list.
inline constexpr std::size_t max_listed_members = 2'000;

/// Maximum of sections in one pull.
inline constexpr std::size_t max_pulled_sections = 64;

/// The sender's own state, part of every ping, ack, notice and member_list.
struct summary {
    membership::incarnation m_incarnation = 0;
    bool m_leaving = false;
    version_id m_version_in_force; ///< the configuration in force
    std::optional<milliseconds>
        m_source_age; ///< since the source was known to have m_version_in_force as newest
    std::uint64_t m_hosts_index = 0; ///< version of the sender's host list; 0: none

    bool operator==(const summary&) const = default;
};

/// The first message on a connection.
struct hello {
    std::uint64_t m_protocol = protocol_version;
    membership::member m_self;

    bool operator==(const hello&) const = default;
};

/// Requests an ack.
struct ping {
    std::uint64_t m_sequence = 0;
    summary m_summary;
    std::vector<membership::member> m_updates;

    bool operator==(const ping&) const = default;
};

/// Answers a ping.
struct ack {
    std::uint64_t m_sequence = 0;
    summary m_summary;
    std::vector<membership::member> m_updates;

    bool operator==(const ack&) const = default;
};

/// Asks the receiver to ping `m_target` for the sender.
struct ping_request {
    std::uint64_t m_sequence = 0;
    std::string m_target; ///< IP

    bool operator==(const ping_request&) const = default;
};

/// Reports that the target of a ping_request acked the ping.
struct indirect_ack {
    std::uint64_t m_sequence = 0;
    std::string m_target; ///< IP

    bool operator==(const indirect_ack&) const = default;
};

/// Pushes the sender's state: after a change of version, host list or membership, or for
/// anti-entropy.
struct notice {
    summary m_summary;
    std::vector<membership::member> m_updates;
    bool m_reply_requested = false;

    bool operator==(const notice&) const = default;
};

/// Requests all members that the receiver knows.
struct join_request {
    bool operator==(const join_request&) const = default;
};

/// Answers a join_request.
struct member_list {
    summary m_summary;
    std::vector<membership::member> m_members;

    bool operator==(const member_list&) const = default;
};

/// Requests values by hash.
struct pull {
    std::string m_manifest_hash; ///< empty: none
    std::vector<std::string> m_section_hashes;
    bool m_hosts = false; ///< whether the host list is requested

    bool operator==(const pull&) const = default;
};

/// Answers a pull of a manifest.
struct manifest_value {
    std::string m_hash;  ///< as in the pull
    std::string m_bytes; ///< empty: the sender does not have it

    bool operator==(const manifest_value&) const = default;
};

/// Answers a pull of sections with those that the sender has, up to a size limit.
struct section_values {
    std::vector<std::string> m_sections;

    bool operator==(const section_values&) const = default;
};

/// Answers a pull of the host list.
struct hosts_value {
    std::uint64_t m_index = 0;
    std::string m_bytes;

    bool operator==(const hosts_value&) const = default;
};

using message = std::variant<hello, ping, ack, ping_request, indirect_ack, notice, join_request,
                             member_list, pull, manifest_value, section_values, hosts_value>;

/// Encodes a message.
[[nodiscard]] std::string encode(const message& item);

/// Decodes a message. Returns nothing, with the reason, unless `bytes` are exactly one
/// message of this protocol version within its limits.
[[nodiscard]] std::optional<message> decode(std::string_view bytes, reason& why);

} // namespace pomelohead::distribution
