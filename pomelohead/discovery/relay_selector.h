// Selects from where a node receives the store's changes: from a relay node or from the store.
//
// The nodes of a failure domain whose hosts have registered targets are ordered by rendezvous
// score. Each node follows the first of them that is known to be able to relay; if none is known,
// it queries them in order until one relays. The node that is itself the first one watches the
// store. Hosts whose link or CPU is slow relay nothing, or only where no other node is known to be
// able to. A node that is unreachable or has lost the store is skipped with exponential backoff.
// If no relay is left, a node calls the store. There is no consensus: with different member lists
// some nodes make a few additional calls.
//
//     relay_selector selector("10.1.0.4", relay_role::preferred);
//     selector.set_members({"10.1.0.4", "10.1.0.5"});
//     if (const auto relay = selector.choose(now)) { query(*relay); } else { query_store(); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelohead::discovery {

/// What a node's host allows it to do for its failure domain.
enum class relay_role {
    none,
    fallback, ///< relays where no preferred node is known
    preferred,
};

/// Selects the relay that one node follows.
class relay_selector {
public:
    /// How long a relay is skipped after its first failure; longer than a restart takes. The time
    /// doubles with each consecutive failure; its maximum bounds how long a node does without
    /// relays after it was cut off itself.
    static constexpr milliseconds initial_backoff{3'000};
    static constexpr milliseconds max_backoff{6'000};
    /// How long a node is skipped that has declined.
    static constexpr milliseconds decline_backoff{60'000};
    /// How long a node is skipped that can relay but has no contact with the store yet.
    static constexpr milliseconds not_ready_backoff{500};

    relay_selector(std::string self, relay_role role) : m_self(std::move(self)), m_role(role) {}

    /// Sets the addresses of the failure domain's nodes whose hosts have registered targets. They
    /// include this node only if its own host has one.
    void set_members(std::vector<std::string> addresses);

    /// Adds nodes, of any failure domain, that are known to be preferred relays.
    void add_relays(const std::vector<std::string>& addresses);

    /// Records a valid response of a relay.
    void record_success(const std::string& relay) { m_backoffs.erase(relay); }

    /// Records that a relay did not respond, or has lost the store.
    void record_failure(const std::string& relay, time_point now);

    /// Records that a preferred relay does not relay at the moment.
    void record_not_ready(const std::string& relay, time_point now);

    /// Records that a node is no preferred relay, and does not relay.
    void record_decline(const std::string& relay, time_point now);

    /// Returns the relay to query now, or nullopt for the store.
    [[nodiscard]] std::optional<std::string> choose(time_point now) const;

    /// Returns for how long choose() keeps returning the store unless a recorded result or new
    /// members change that; nullopt: indefinitely. Zero if there is a relay to query, or if the
    /// members are not known yet.
    [[nodiscard]] std::optional<duration> time_until_change(time_point now) const;

    /// Returns whether this node is the relay that other nodes should follow.
    [[nodiscard]] bool is_relay(time_point now) const;

    [[nodiscard]] relay_role role() const { return m_role; }

    /// Returns the preferred relays of the failure domain in order, including this node.
    [[nodiscard]] std::vector<std::string> relays() const;

    /// Returns the preferred relays of all failure domains, including this node.
    [[nodiscard]] std::vector<std::string> all_relays() const;

private:
    struct backoff {
        time_point m_retry_at;
        unsigned m_failures = 0; ///< consecutive
    };

    [[nodiscard]] bool is_backing_off(const std::string& relay, time_point now) const;
    [[nodiscard]] bool is_preferred(const std::string& address) const;
    [[nodiscard]] bool may_relay(bool others_preferred) const;
    [[nodiscard]] bool knows_other_relay() const;

    std::string m_self;
    relay_role m_role;
    std::vector<std::string> m_ranked;
    std::set<std::string> m_relays; ///< preferred ones, without this node
    std::map<std::string, backoff> m_backoffs;
};

} // namespace pomelohead::discovery
