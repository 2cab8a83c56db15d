// Notices that the other side of a connection has gone while nothing is read from it.
//
//     connection_watch watch(stream, [&] { cancel_the_work(); });
//
// Only for a time in which no read is pending on the connection: between a whole
// request and the end of its answer. Bytes that arrive early (the next request)
// end the watch with a call of the other hook, if there is one.
#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>

namespace pomelohead::forwarding {

/// Calls one of its hooks once when the connection ends or bytes arrive early; destroying it ends
/// the watch.
class connection_watch {
public:
    /// The hooks are called from the event loop and must not wait.
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
