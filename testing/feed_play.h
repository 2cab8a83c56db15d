// Nodes that follow the store on virtual time, while calls to the store and to a relay are lost.
//
// A call takes its time at once, so that a play of seconds takes some microseconds. The relay is
// played first; it does not depend on its followers.
//
//     feed_play play({.m_acknowledged = {0s, 6s}, .m_relay_lost_at = 6s});
//     play.run(10s);
//     play.in_force_after(1);   // how long after its acknowledgement the second version was
#pragma once

#include "pomelohead/discovery/relay_client.h"
#include "pomelohead/discovery/relayed_store.h"
#include "pomelohead/source/store_follower.h"
#include "testing/manual_timer_service.h"

#include <vector>

namespace pomelohead::testing {

/// A time in which the store answers no call that is sent or would be answered in it.
struct silence {
    milliseconds m_from{0};
    milliseconds m_until{0};

    [[nodiscard]] bool covers(milliseconds sent, milliseconds answered) const
    {
        return sent < m_until && answered >= m_from;
    }

    bool operator==(const silence&) const = default;
};

/// What happens in a play. Times are since its start.
struct feed_plan {
    milliseconds m_bound{2'000};              ///< for changes to be in force
    std::vector<milliseconds> m_acknowledged; ///< of the versions, the first at 0
    milliseconds m_relay_lost_at{milliseconds::max()};
    std::vector<silence> m_store_silent_for_relay;
    std::vector<silence> m_store_silent_for_node;
    /// Watches hear nothing in this time, and their history is lost at its end; lists are answered.
    silence m_watches_deaf;
    /// So many calls of the node to the store are lost from m_node_loses_from on.
    unsigned m_node_loses{0};
    milliseconds m_node_loses_from{0};
    bool m_has_relay = true;
    bool m_has_successor = false; ///< to the relay; it is lost with it
    milliseconds m_store_latency{4};
    /// How long a call of the relay to the store takes from m_relay_slow_from on.
    milliseconds m_relay_latency{4};
    milliseconds m_relay_slow_from{milliseconds::max()};
    std::uint64_t m_seed = 1;
};

/// What a node knew from a point in time on.
struct feed_state {
    milliseconds m_at{0};
    std::uint64_t m_version = 0;
    std::optional<milliseconds> m_as_of;
    bool m_is_up = false;

    bool operator==(const feed_state&) const = default;
};

class feed_play {
public:
    explicit feed_play(feed_plan plan) : m_plan(std::move(plan)) {}

    /// Plays the relay and then the node until `end`.
    void run(milliseconds end);

    /// How long after its acknowledgement the version at `index` was in force at the node; nullopt
    /// if it was not until the end of the play.
    [[nodiscard]] std::optional<milliseconds> in_force_after(std::size_t index) const;

    /// When that was, or the end of the play.
    [[nodiscard]] milliseconds in_force_at(std::size_t index) const;

    [[nodiscard]] std::size_t node_calls() const { return m_node_calls; }

private:
    feed_plan m_plan;
    milliseconds m_end{0};
    std::vector<feed_state> m_relay;
    std::vector<feed_state> m_node;
    std::size_t m_node_calls = 0; ///< to the store
};

} // namespace pomelohead::testing
