// Answers other nodes of the failure domain that follow this one's relays.
//
//     GET /relay/PART               all values of the part
//     GET /relay/PART?cursor=N&wait_ms=M   what came after N, at once or within M
//
// 200 with relay_codec's bytes; 410 where the cursor is not known (list again); 409 where
// this node relays no values of the part, 503 while it has not heard from the store itself.
#pragma once

#include "pomelohead/discovery/feed_choice.h"
#include "pomelohead/forwarding/http_server.h"
#include "pomelohead/source/relay.h"

#include <list>

namespace pomelohead::discovery {

/// The path of a part.
[[nodiscard]] std::string relay_path(source::store_part part);

/// What is served of one part.
struct served_part {
    source::relay& m_relay;
    const relay_selector& m_relay_selector; ///< who relays the part
};

class relay_server {
public:
    /// All must outlive the object.
    relay_server(boost::asio::io_context& io, const forwarding::endpoint& local_endpoint,
                 const served_part& configuration, const served_part& registrations);

    bool start(reason& why) { return m_server.start(why); }

    /// Refuses from now on, so that the others turn to the store before this node is gone.
    void leave();

    /// Suspends the calling fiber until no call is under way.
    void stop();

private:
    void serve(forwarding::server_exchange& exchange);
    void answer(forwarding::server_exchange& exchange, unsigned status, const std::string& body);
    void wait_for_change(forwarding::server_exchange& exchange, const served_part& part,
                         std::uint64_t cursor, duration limit);
    /// Only who hears from the store itself may tell others: news goes one hop.
    [[nodiscard]] bool can_serve(const served_part& part) const
    {
        return !m_is_leaving && part.m_relay.in_touch() &&
               part.m_relay_selector.is_relay(clock_type::now());
    }
    void wake_waiters();

    served_part m_configuration;
    served_part m_registrations;
    bool m_is_leaving = false;
    std::list<fiber_event*> m_waiters;
    forwarding::http_server m_server;
};

} // namespace pomelohead::discovery
