// What the operating system knows of a connection beyond the bytes that have been read.
//
// A host that is late to read finds bytes that have waited, and behind them perhaps the end of the
// connection. Both count: the time of a request runs while its bytes wait, and nobody waits for the
// answer once the peer has left.
//
//     const time_point arrived = clock_type::now() - time_since_last_data(stream);
//     if (has_peer_left(stream)) ...   // also behind bytes that nobody has read
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <boost/beast/core/tcp_stream.hpp>

namespace pomelohead::forwarding {

/// Returns whether the peer has closed the connection and nothing it sent is left to read. A watch
/// reports that only once the event loop runs again.
[[nodiscard]] bool is_closed_by_peer(boost::beast::tcp_stream& stream);

/// Returns whether the peer has closed or reset the connection, even if bytes are left to read.
[[nodiscard]] bool has_peer_left(boost::beast::tcp_stream& stream);

/// Returns how long ago the latest bytes of the peer arrived at this host, whether they have been
/// read or not. The first bytes of a message arrived no later. Zero where the system cannot tell.
[[nodiscard]] duration time_since_last_data(boost::beast::tcp_stream& stream);

} // namespace pomelohead::forwarding
