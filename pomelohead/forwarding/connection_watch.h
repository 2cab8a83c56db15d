// Detects that the peer closes a connection while nothing is being read from it.
//
//     connection_watch watch(stream, [&] { cancel_the_work(); });
//
// Use it only while no read is pending on the connection: between a complete request and the end
// of its response. Bytes that arrive early (the next request) end the watch and call the other
// callback, if there is one.
#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>

namespace pomelohead::forwarding {

/// Calls one of its callbacks once, when the connection is closed or bytes arrive early. Destroying
/// it ends the watch.
class connection_watch {
public:
    /// The callbacks run in the event loop and must not block.
    connection_watch(boost::beast::tcp_stream& stream, std::function<void()> on_closed,
                     std::function<void()> on_early_data = {});
    connection_watch(const connection_watch&) = delete;
    connection_watch& operator=(const connection_watch&) = delete;
    ~connection_watch();

private:
    struct state {
        std::function<void()> m_on_closed;
        std::function<void()> m_on_early_data;
        boost::asio::cancellation_signal m_cancel;
    };
    std::shared_ptr<state> m_state;
};

} // namespace pomelohead::forwarding
