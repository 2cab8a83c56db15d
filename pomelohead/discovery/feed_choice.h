// From whom a node hears about the store's changes: the store itself, or a relay.
//
// The nodes of a failure domain that stand beside registered targets are ordered by
// rendezvous score. Each node follows the first of them that can relay, and the one that
// finds itself there watches the store. A node whose link or processor is too small for
// the values in question declines; one that cannot be reached, or has lost the store, is
// passed over for a while, longer each time. Where nobody is left a node asks the store.
// Nothing is agreed: with different views some nodes make a few calls more.
//
//     relay_selector feeds("10.1.0.4", true);
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
class relay_selector {
public:
    /// How long a relay that failed is passed over at first: longer than a restart takes. The
    /// time doubles with each failure in a row.
    static constexpr milliseconds initial_backoff{3'000};
    static constexpr milliseconds max_backoff{60'000};

    relay_selector(std::string self, bool can_relay)
        : m_self(std::move(self)), m_can_relay(can_relay)
    {
    }

    /// The addresses of the nodes of the own failure domain, this one included where a
    /// target is registered beside it.
    void set_members(std::vector<std::string> addresses);

    /// A relay has answered as it should.
    void record_success(const std::string& relay) { m_backoffs.erase(relay); }

    /// A relay has not answered, or has lost the store.
    void record_failure(const std::string& relay, time_point now);

    /// A node said that it relays nothing.
    void record_decline(const std::string& relay, time_point now);

    /// The relay to ask now; nothing: the store.
    [[nodiscard]] std::optional<std::string> choose(time_point now) const;

    /// How long choose() stays as it is, unless a call or the members change it; nothing: for
    /// good. Zero where there is a relay to ask, or the members are not known yet.
    [[nodiscard]] std::optional<duration> time_until_change(time_point now) const;

    /// Whether this node is the one that others follow.
    [[nodiscard]] bool is_relay(time_point now) const;

    [[nodiscard]] bool can_relay() const { return m_can_relay; }

private:
    struct backoff {
        time_point m_retry_at;
        unsigned m_failures = 0; ///< in a row
    };

    [[nodiscard]] bool is_backing_off(const std::string& relay, time_point now) const;

    std::string m_self;
    bool m_can_relay;
    std::vector<std::string> m_ranked;
    std::map<std::string, backoff> m_backoffs;
};

} // namespace pomelohead::discovery
