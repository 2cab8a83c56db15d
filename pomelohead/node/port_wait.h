// Waits for ports that another process holds when a node starts.
//
// A node may be started while the one before it on its host still finishes its requests.
//
//     reason why;
//     switch (wait_for_ports(io, ports_of(settings), 7s, [&] { return is_stop_asked; }, why)) {
//     case port_wait_result::free: ...
#pragma once

#include "pomelohead/forwarding/http_server.h"

namespace pomelohead::node {

enum class port_wait_result {
    free,      ///< each port could be bound
    cancelled, ///< the caller no longer waits
    held,      ///< a port was still held at the end, or cannot be bound at all
};

/// Suspends the calling fiber until each port can be bound, for at most `limit`. Logs each port
/// that it waits for. With `held`, `why` names the port and the system's reason.
[[nodiscard]] port_wait_result
wait_for_ports(boost::asio::io_context& io, const std::vector<forwarding::endpoint>& ports,
               duration limit, const std::function<bool()>& is_cancelled, reason& why);

} // namespace pomelohead::node
