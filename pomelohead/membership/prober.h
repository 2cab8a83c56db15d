// Finds out which members do not answer.
//
// Each period one of the node's successors (overlay.h) is pinged, in turn. One that
// does not answer is pinged again through others; if nothing comes back either, it
// has failed. The cost does not depend on the size of the fleet.
//
//     prober probes({}, {.m_ping = ..., .m_ping_via = ..., .m_failed = ...});
//     probes.tick(now, neighbours.m_successors, random);
//     probes.answered(sequence);      // an ack, direct or indirect
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pomelohead::membership {

/// Times of a prober.
struct prober_options {
    milliseconds m_period{1'000};           ///< between pings
    milliseconds m_direct_timeout{800};     ///< for a ping's answer
    milliseconds m_indirect_timeout{1'500}; ///< for an answer through others

    bool operator==(const prober_options&) const = default;
};

/// What a prober asks of its owner.
struct prober_callbacks {
    std::function<void(const std::string& address, std::uint64_t sequence)> m_ping;
    std::function<void(const std::string& address, std::uint64_t sequence)> m_ping_via_others;
    std::function<void(const std::string& address, time_point now)> m_failed;
};

/// Probes members in turn.
class prober {
public:
    prober(prober_options options, prober_callbacks hooks);

    /// Pings the next one of `targets` if its time has come, and sees to overdue pings.
    void tick(time_point now, const std::vector<std::string>& targets);

    /// Pings `address` now. Returns the ping's sequence number.
    std::uint64_t probe(const std::string& address, time_point now);

    /// An answer to the ping `sequence` came. Returns whether it was awaited.
    bool answered(std::uint64_t sequence);

    /// The connection to `address` failed: pings to it go on through others at once.
    void connection_failed(const std::string& address, time_point now);

    /// Forgets all pings under way.
    void reset();

    /// A sequence number for a ping that the prober does not follow.
    [[nodiscard]] std::uint64_t take_sequence() { return m_next_sequence++; }

    /// Sequence numbers from this one on are not yet used.
    [[nodiscard]] std::uint64_t next_sequence() const { return m_next_sequence; }

private:
    struct pending_probe {
        std::string m_address;
        time_point m_deadline;
        bool m_indirect = false;
    };

    void start_indirect_probe(std::uint64_t sequence, pending_probe& item, time_point now);

    prober_options m_options;
    prober_callbacks m_callbacks;
    std::map<std::uint64_t, pending_probe> m_pending; // by sequence
    std::uint64_t m_next_sequence = 1;
    std::size_t m_next_target = 0;
    time_point m_next_ping{};
};

} // namespace pomelohead::membership
