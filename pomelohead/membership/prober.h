// Failure detector: detects members that do not respond to pings.
//
// Each period the prober pings the next of the node's successors (overlay.h), round robin. If
// there is no answer it requests an indirect ping through other members; if that is not answered
// either, the probe fails. The cost does not depend on the fleet size.
//
//     prober probes({}, {.m_ping = ..., .m_ping_indirect = ..., .m_failed = ...});
//     probes.tick(now, neighbours.m_successors);
//     probes.answered(sequence);      // an ack, direct or indirect
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pomelohead::membership {

/// Intervals and timeouts of a prober.
struct prober_options {
    milliseconds m_period{1'000};           ///< between pings
    milliseconds m_direct_timeout{800};     ///< for the answer to a direct ping
    milliseconds m_indirect_timeout{1'500}; ///< for the answer to an indirect ping

    bool operator==(const prober_options&) const = default;
};

/// Callbacks of a prober: send a direct ping, request an indirect ping, report a failed probe.
struct prober_callbacks {
    std::function<void(const std::string& address, std::uint64_t sequence)> m_ping;
    std::function<void(const std::string& address, std::uint64_t sequence)> m_ping_indirect;
    std::function<void(const std::string& address, time_point now)> m_failed;
};

/// Probes members round robin, directly and then indirectly.
class prober {
public:
    prober(prober_options options, prober_callbacks hooks);

    /// Handles pings past their deadline, and pings the next of `targets` if the period has passed.
    void tick(time_point now, const std::vector<std::string>& targets);

    /// Pings `address` now. Returns the ping's sequence number.
    std::uint64_t probe(const std::string& address, time_point now);

    /// Records an answer to ping `sequence`. Returns false if no such ping is pending.
    bool answered(std::uint64_t sequence);

    /// Records that the connection to `address` failed: starts the indirect phase of its pending
    /// pings at once.
    void connection_failed(const std::string& address, time_point now);

    /// Drops all pending pings.
    void reset();

    /// Allocates a sequence number for a ping that the prober does not track.
    [[nodiscard]] std::uint64_t allocate_sequence() { return m_next_sequence++; }

    /// Returns the lowest sequence number that has not been used.
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
