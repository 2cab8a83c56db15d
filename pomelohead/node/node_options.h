// The options of a node's parts, as its settings say.
//
//     const forwarding::entry_options entry = entry_options_of(settings, incarnation);
#pragma once

#include "pomelohead/discovery/catalog.h"
#include "pomelohead/distribution/distributor.h"
#include "pomelohead/forwarding/entry_service.h"
#include "pomelohead/forwarding/owner_service.h"
#include "pomelohead/lifecycle/shutdown.h"
#include "pomelohead/settings/node_settings.h"

namespace pomelohead::node {

[[nodiscard]] distribution::distribution_options
distribution_options_of(const settings::node_settings& settings);

/// `incarnation` seeds the entry's random choices, so that nodes differ.
[[nodiscard]] forwarding::entry_options entry_options_of(const settings::node_settings& settings,
                                                         const forwarding::dialect& names,
                                                         std::uint64_t incarnation);

[[nodiscard]] forwarding::owner_options owner_options_of(const settings::node_settings& settings,
                                                         const forwarding::dialect& names,
                                                         std::uint64_t incarnation);

/// How long after the store's acknowledgement of a change all nodes have to go by it.
[[nodiscard]] milliseconds in_force_within_of(const settings::node_settings& settings);

[[nodiscard]] discovery::catalog_options catalog_options_of(const settings::node_settings& settings,
                                                            std::uint64_t incarnation);

[[nodiscard]] lifecycle::shutdown_options
shutdown_options_of(const settings::node_settings& settings);

/// All ports that a node listens on.
[[nodiscard]] std::vector<forwarding::endpoint> ports_of(const settings::node_settings& settings);

/// How long a node that starts waits for the ports that the node before it may still hold: until
/// that one's stop is over.
[[nodiscard]] duration port_wait_limit_of(const settings::node_settings& settings);

} // namespace pomelohead::node
