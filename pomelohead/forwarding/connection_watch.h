// Detects that the peer closes a connection while nothing is being read from it.
//
//     connection_watch watch(stream, [&] { cancel_the_work(); });
//
// Use it only while no read is pending on the connection: between a complete request and the end
// of its response. Bytes that arrive early (the next request) call the other callback, if there is
// one. The event loop does not tell of a close behind bytes that nobody reads, so from then on the
// watch looks for it periodically.
#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>

namespace pomelohead::forwarding {

/// Calls each of its callbacks once at most, when the connection is closed and when bytes arrive
/// early. Destroying it ends the watch.
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
        explicit state(boost::beast::tcp_stream& stream)
            : m_stream(stream), m_unread_check(stream.get_executor())
        {
        }

        boost::beast::tcp_stream& m_stream; ///< valid while m_on_closed is set
        std::function<void()> m_on_closed;
        std::function<void()> m_on_early_data;
        boost::asio::cancellation_signal m_cancel;
        boost::asio::steady_timer m_unread_check;
    };

    static void on_readable(const std::shared_ptr<state>& watch);
    static void check_behind_unread_bytes(const std::shared_ptr<state>& watch);

    std::shared_ptr<state> m_state;
};

} // namespace pomelohead::forwarding
