// From whom a node hears about the store's changes: the store itself, or a relay.
//
// Each failure domain has one relay, the node with the highest rendezvous score among
// those beside registered targets. It watches the store; the others watch the relay, which
// costs the store nothing. A relay that cannot be reached, or has lost the store, is passed
// over for a while, and the node then asks the store as a relay does. Nothing is agreed:
// with different views some nodes make a few calls more.
//
//     feed_choice feeds("10.1.0.4");
//     feeds.set_members({"10.1.0.4", "10.1.0.5"});
//     if (const auto relay = feeds.choose(now)) { ask(*relay); } else { ask_store(); }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelohead::discovery {

/// Chooses for one node.
class feed_choice {
public:
    /// How long a relay that failed is passed over. Longer than a restart takes, shorter
    /// than the silence after which a target's registration lapses.
    static constexpr milliseconds retry_after{3'000};

    explicit feed_choice(std::string self) : m_self(std::move(self)) {}

    /// The addresses of the nodes of the own failure domain, this one included where a
    /// target is registered beside it.
    void set_members(const std::vector<std::string>& addresses);

    /// A relay has not answered as it should.
    void failed(const std::string& relay, time_point now);

    /// The relay to ask now; nothing: the store.
    [[nodiscard]] std::optional<std::string> choose(time_point now) const;

    /// Whether this node is the relay of its failure domain.
    [[nodiscard]] bool is_relay() const { return m_first == m_self; }

private:
    std::string m_self;
    std::string m_first; ///< empty: no members are known
    std::map<std::string, time_point> m_passed_over_until;
};

} // namespace pomelohead::discovery
