// Which other nodes a node keeps in touch with, and which ones watch the source.
//
// The members stand on ring_count rings, on each in the order of another hash of
// their addresses; the first ring holds only the own failure domain, so that a
// failure domain that is cut off stays connected in itself. A node probes its
// successor on each ring, hence is probed by one predecessor on each, whatever the
// size of the fleet; news is pushed to successors and predecessors. Random rings
// make an expander, on which news needs a number of hops that grows with the
// logarithm of the fleet.
//
// Nothing is agreed: nodes with different views choose differently for a while, at
// the cost of a few messages more.
#pragma once

#include "pomelohead/membership/member.h"

#include <string>
#include <vector>

namespace pomelohead::membership {

/// Rings on which each node has a successor.
inline constexpr unsigned ring_count = 3;

/// A node's neighbours on the rings, each address once, without the node itself.
struct neighbours {
    std::vector<std::string> m_successors;
    std::vector<std::string> m_all; ///< successors and predecessors

    bool operator==(const neighbours&) const = default;
};

/// The neighbours of `self` among the members that are not dead.
[[nodiscard]] neighbours find_neighbours(const member& self,
                                         const std::vector<const member*>& present);

/// Whether `self` is one of its failure domain's `count` watchers: those of its live
/// members with the highest rendezvous score. A leaving node is none.
[[nodiscard]] bool is_watcher(const member& self, const std::vector<const member*>& present,
                              std::size_t count);

/// The addresses by falling rendezvous score. Nodes with the same view get the same order.
[[nodiscard]] std::vector<std::string> sort_by_rendezvous_score(std::vector<std::string> addresses);

} // namespace pomelohead::membership
