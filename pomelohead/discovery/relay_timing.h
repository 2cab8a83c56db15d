// Time limits of the way from the store over a relay to its followers.
//
// A change has to be in force a stated time after the store has acknowledged it, also when the
// relay, or the relay's connection to the store, stops answering without a reset at that moment,
// and when the first call in its place is lost too. Limits on single waits cannot promise that: a
// relay may answer each call in time and still be behind. What counts is the age of what a node
// knows, the time since it knew all changes. Once that is m_max_age, a node calls the store itself,
// and calls again when no answer comes; four fifths of the bound have passed by then.
//
//     const relay_timing timing = make_relay_timing(2s);
//     query_relay(relay, timing.m_poll_wait + timing.m_answer_slack);
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <algorithm>

namespace pomelohead::discovery {

struct relay_timing {
    /// How long a node that calls the store waits after a change until the next call, so that
    /// changes in quick succession share one. A change made just after a call waits that long.
    milliseconds m_batch_delay{0};
    /// How long a relay holds a follower's request while nothing changes.
    milliseconds m_poll_wait{0};
    /// How long a follower waits for an answer that is due.
    milliseconds m_answer_slack{0};
    /// How long a follower looks for a relay before it calls the store. A relay's answer is far
    /// smaller than the store's, so that over a congested link it is worth waiting for.
    milliseconds m_search{0};
    /// How long the store holds a watch while nothing changes.
    milliseconds m_store_watch_wait{0};
    /// How long any node waits for an answer of the store that is due, before it calls again.
    milliseconds m_store_answer_slack{0};
    /// How old what a node knows may become before it calls the store, whatever relays say.
    milliseconds m_max_age{0};

    bool operator==(const relay_timing&) const = default;

    /// The longest time until a follower calls the store after its relay has gone silent, or has
    /// learned nothing any more, from the relay's call after a change on: until that call the age
    /// counts from the one before the change.
    [[nodiscard]] milliseconds relay_loss() const { return m_max_age - m_batch_delay; }

    /// The longest time until a node that watches the store calls it again after the watch has gone
    /// silent.
    [[nodiscard]] milliseconds store_loss() const
    {
        return m_store_watch_wait + m_store_answer_slack;
    }

    /// The same if it looks for a relay in between, which ends once the store has to be called.
    [[nodiscard]] milliseconds direct_loss() const { return std::max(store_loss(), relay_loss()); }
};

/// `in_force_within`: the time from the store's acknowledgement of a change until all nodes
/// have to go by it.
[[nodiscard]] constexpr relay_timing make_relay_timing(milliseconds in_force_within)
{
    const auto share = [in_force_within](int percent) { return in_force_within * percent / 100; };
    return {.m_batch_delay = share(25),
            .m_poll_wait = share(15),
            .m_answer_slack = share(15),
            .m_search = share(20),
            .m_store_watch_wait = share(35),
            .m_store_answer_slack = share(15),
            .m_max_age = share(65)};
}

} // namespace pomelohead::discovery
