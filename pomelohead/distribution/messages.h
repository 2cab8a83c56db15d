// What nodes say to one another.
//
// Messages are independent of each other and may be lost, repeated and reordered;
// a request that is not answered in time is simply made again. On the wire each is
// one WebSocket message with a CBOR array: the type's number, then the fields in
// order. The first message on a connection, in each direction, is a hello with the
// protocol's number.
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

/// Nodes of different protocol numbers do not talk to each other.
inline constexpr std::uint64_t protocol_version = 1;

/// The largest message: one value of the configuration service and its frame.
inline constexpr std::size_t max_message_bytes = config::max_value_bytes + 16'384;

/// Members at most in one ping, ack or notice.
inline constexpr std::size_t max_piggyback = 8;

/// Members at most in one member_list.
inline constexpr std::size_t max_listed_members = 2'000;

/// Sections at most in one pull.
inline constexpr std::size_t max_pulled_sections = 64;

/// The sender's own state, in every ping, ack and notice.
struct summary {
    membership::incarnation m_incarnation = 0;
    bool m_leaving = false;
    version_id m_held; ///< the configuration in force
    std::optional<milliseconds>
        m_source_age;                ///< since the source was known to have m_held as newest
    std::uint64_t m_hosts_index = 0; ///< of the host list that it has; 0: none

    bool operator==(const summary&) const = default;
};

/// Opens a connection.
struct hello {
    std::uint64_t m_protocol = protocol_version;
    membership::member m_self;

    bool operator==(const hello&) const = default;
};

/// Asks for an ack.
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

/// Reports that the target of a ping_request answered.
struct indirect_ack {
    std::uint64_t m_sequence = 0;
    std::string m_target; ///< IP

    bool operator==(const indirect_ack&) const = default;
};

/// Tells the sender's state unasked: a new version, a leave, or anti-entropy.
struct notice {
    summary m_summary;
    std::vector<membership::member> m_updates;
    bool m_answer_wanted = false;

    bool operator==(const notice&) const = default;
};

/// Asks for all members that the receiver knows.
struct join_request {
    bool operator==(const join_request&) const = default;
};

/// Answers a join_request.
struct member_list {
    summary m_summary;
    std::vector<membership::member> m_members;

    bool operator==(const member_list&) const = default;
};

/// Asks for values by hash.
struct pull {
    std::string m_manifest_hash; ///< empty: none
    std::vector<std::string> m_section_hashes;
    bool m_hosts = false; ///< the host list

    bool operator==(const pull&) const = default;
};

/// Answers a pull of a manifest.
struct manifest_value {
    std::string m_hash;  ///< as asked for
    std::string m_bytes; ///< empty: the sender does not have it

    bool operator==(const manifest_value&) const = default;
};

/// Answers a pull of sections: those that the sender has, as many as fit.
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

/// The message's bytes.
[[nodiscard]] std::string encode(const message& item);

/// Reads a message. Fails on anything but a whole message of this protocol within
/// its limits.
[[nodiscard]] std::optional<message> decode(std::string_view bytes, reason& why);

} // namespace pomelohead::distribution
