// Selects from where a node receives the store's changes: from a relay node or from the store.
//
// The nodes of a failure domain whose hosts have registered targets are ordered by rendezvous
// score. Each node follows the first of them that can relay; the node that is itself the first
// one watches the store. A node whose link or CPU is too slow to relay the values declines. A
// node that is unreachable or has lost the store is skipped with exponential backoff. If no relay
// is left, a node calls the store. There is no consensus: with different member lists some
// nodes make a few additional calls.
//
//     relay_selector selector("10.1.0.4", true);
//     selector.set_members({"10.1.0.4", "10.1.0.5"});
//     if (const auto relay = selector.choose(now)) { query(*relay); } else { query_store(); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelohead::discovery {

/// Selects the relay that one node follows.
class relay_selector {
public:
    /// How long a relay is skipped after its first failure; longer than a restart takes. The time
    /// doubles with each consecutive failure.
    static constexpr milliseconds initial_backoff{3'000};
    static constexpr milliseconds max_backoff{60'000};

    relay_selector(std::string self, bool can_relay)
        : m_self(std::move(self)), m_can_relay(can_relay)
    {
    }

    /// Sets the addresses of the failure domain's nodes whose hosts have registered targets. They
    /// include this node only if its own host has one.
    void set_members(std::vector<std::string> addresses);

    /// Records a valid response of a relay.
    void record_success(const std::string& relay) { m_backoffs.erase(relay); }

    /// Records that a relay did not respond, or has lost the store.
    void record_failure(const std::string& relay, time_point now);

    /// Records that a node declined to relay.
    void record_decline(const std::string& relay, time_point now);

    /// Returns the relay to query now, or nullopt for the store.
    [[nodiscard]] std::optional<std::string> choose(time_point now) const;

    /// Returns for how long choose() keeps returning the store unless a recorded result or new
    /// members change that; nullopt: indefinitely. Zero if there is a relay to query, or if the
    /// members are not known yet.
    [[nodiscard]] std::optional<duration> time_until_change(time_point now) const;

    /// Returns whether this node is the relay that other nodes should follow.
    [[nodiscard]] bool is_relay(time_point now) const;

    [[nodiscard]] bool can_relay() const { return m_can_relay; }

private:
    struct backoff {
        time_point m_retry_at;
        unsigned m_failures = 0; ///< consecutive
    };

    [[nodiscard]] bool is_backing_off(const std::string& relay, time_point now) const;

    std::string m_self;
    bool m_can_relay;
    std::vector<std::string> m_ranked;
    std::map<std::string, backoff> m_backoffs;
};

} // namespace pomelohead::discovery
