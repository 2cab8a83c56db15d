// HTTP server for the nodes of the failure domain that follow this node as their relay.
//
//     GET /relay/PART               all values of the part
//     GET /relay/PART?cursor=N&wait_ms=M   changes after N; waits up to M ms for one
//
// Responds with 200 and changes encoded by relay_codec; 410 if the cursor is unknown (the client
// must list again); 409 if this node does not relay the part; 503 while it has no contact with
// the store itself.
#pragma once

#include "pomelohead/discovery/relay_selector.h"
#include "pomelohead/forwarding/http_server.h"
#include "pomelohead/source/relay.h"

#include <list>

namespace pomelohead::discovery {

/// Returns the URL path of a part.
[[nodiscard]] std::string relay_path(source::store_part part);

/// The changes that are relayed for one part, and whether this node relays it.
struct served_part {
    source::relay& m_relay;
    const relay_selector& m_relay_selector; ///< decides which node relays the part
};

class relay_server {
public:
    /// `io` and the referenced relays and selectors must outlive the object.
    relay_server(boost::asio::io_context& io, const forwarding::endpoint& local_endpoint,
                 const served_part& configuration, const served_part& registrations);

    bool start(reason& why) { return m_server.start(why); }

    /// Rejects all requests from now on, so that other nodes switch to the store before this node
    /// stops.
    void leave();

    /// Stops the server. Suspends the calling fiber until all calls have ended.
    void stop();

private:
    void serve(forwarding::server_exchange& exchange);
    void answer(forwarding::server_exchange& exchange, unsigned status, const std::string& body);
    void wait_for_change(forwarding::server_exchange& exchange, const served_part& part,
                         std::uint64_t cursor, duration limit);
    /// Only a node in contact with the store itself may relay: changes are relayed over one hop.
    [[nodiscard]] bool can_serve(const served_part& part) const
    {
        return !m_is_leaving && part.m_relay.has_store_contact() &&
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
