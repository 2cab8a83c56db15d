// Overlay network: selects the neighbours of a node and the nodes that watch the source.
//
// The members are ordered on ring_count rings, on each by a different hash of their addresses.
// The first ring of a node holds only its own failure domain, so that a partitioned failure
// domain stays connected internally. A node probes its successor on each ring, hence is probed
// by one predecessor on each, whatever the fleet size. Updates are pushed to successors and
// predecessors. Random rings form an expander graph, on which the number of hops that an update
// needs grows with the logarithm of the fleet size.
//
// There is no consensus: nodes with different member lists choose differently for a while, which
// costs a few additional messages.
#pragma once

#include "pomelohead/membership/member.h"

#include <string>
#include <vector>

namespace pomelohead::membership {

/// Number of rings; a node has a successor on each.
inline constexpr unsigned ring_count = 3;

/// Addresses of a node's neighbours on the rings, without duplicates and without the node itself.
struct neighbours {
    std::vector<std::string> m_successors;
    std::vector<std::string> m_all; ///< successors and predecessors

    bool operator==(const neighbours&) const = default;
};

/// Returns the neighbours of `self` among `present`, the members that are not dead.
[[nodiscard]] neighbours find_neighbours(const member& self,
                                         const std::vector<const member*>& present);

/// Returns whether `self` is one of the `count` watchers of its failure domain, which are the
/// alive members with the highest rendezvous scores. A leaving node is never a watcher.
[[nodiscard]] bool is_watcher(const member& self, const std::vector<const member*>& present,
                              std::size_t count);

/// Returns the addresses by descending rendezvous score. The order depends only on the set of
/// addresses, so that nodes with the same member list get the same order.
[[nodiscard]] std::vector<std::string> sort_by_rendezvous_score(std::vector<std::string> addresses);

} // namespace pomelohead::membership
