// Counts messages between nodes by their type.
//
//     traffic counts;
//     counts.sent(bytes, frame_bytes);
//     for (const message_count& line : counts.lines()) { ... line.m_type ... }
#pragma once

#include "pomelohead/distribution/messages.h"

#include <array>
#include <string_view>

namespace pomelohead::distribution {

/// Messages of one type. Bytes include the WebSocket frames' headers.
struct message_count {
    std::string_view m_type; ///< the message's name in messages.h
    std::uint64_t m_sent = 0;
    std::uint64_t m_sent_bytes = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_received_bytes = 0;

    bool operator==(const message_count&) const = default;
};

/// The messages of one node, by type.
class traffic {
public:
    traffic();

    /// Counts an encoded message that went out; `size` includes the frame's header.
    void sent(std::string_view encoded, std::size_t size);
    void received(const message& item, std::size_t size);

    /// One line for each type, in the order of `message`.
    [[nodiscard]] std::vector<message_count> lines() const;

private:
    std::array<message_count, std::variant_size_v<message>> m_counts;
};

} // namespace pomelohead::distribution
