// What a platform's adapter gives a node, so that the node speaks that platform's names.
//
//     node n(settings, io, platform::make_adapter());
#pragma once

#include "pomelohead/discovery/snapshot_builder.h"
#include "pomelohead/forwarding/dialect.h"
#include "pomelohead/settings/node_settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace pomelohead::node {

/// The default is the project's own interface: bundles from a configuration service.
struct adapter {
    using open_store_fn = std::function<std::unique_ptr<source::key_value_store>(
        boost::asio::io_context&, const settings::source_settings&, source::store_part)>;

    forwarding::dialect m_dialect = forwarding::make_native_dialect();
    open_store_fn m_open_store;    ///< for nodes whose settings name a store
    discovery::decode_fn m_decode; ///< of the store's values
};

} // namespace pomelohead::node
