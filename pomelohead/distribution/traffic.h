// Counts the messages between nodes by type.
//
//     traffic counters;
//     counters.record_sent(bytes, frame_bytes);
//     for (const message_count& line : counters.counts()) { ... line.m_type ... }
#pragma once

#include "pomelohead/distribution/messages.h"

#include <array>
#include <string_view>

namespace pomelohead::distribution {

/// Counts for one message type. Bytes include the WebSocket frame headers.
struct message_count {
    std::string_view m_type; ///< name of the type in messages.h
    std::uint64_t m_sent = 0;
    std::uint64_t m_sent_bytes = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_received_bytes = 0;

    bool operator==(const message_count&) const = default;
};

/// The message counters of one node.
class traffic {
public:
    traffic();

    /// Counts a message sent; `size` in bytes includes the frame header. Ignores bytes that are
    /// not an encoded message.
    void record_sent(std::string_view encoded, std::size_t size);
    /// Counts a message received; `size` as above.
    void record_received(const message& item, std::size_t size);

    /// One entry for each type, in the order of `message`.
    [[nodiscard]] std::vector<message_count> counts() const;

private:
    std::array<message_count, std::variant_size_v<message>> m_counts;
};

} // namespace pomelohead::distribution
