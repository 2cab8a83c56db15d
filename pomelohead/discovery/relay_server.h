// HTTP server for other nodes: relays the store's changes to those of the failure domain that
// follow this node, and tells starting nodes where to find a relay.
//
//     GET /relay/PART?epoch=E&known=R&wait_ms=M
//         All keys of the part, without the values up to revision R of epoch E; waits up to M ms
//         until this node can answer.
//     GET /relay/PART?start=S&cursor=N&wait_ms=M
//         Changes after number N of the relay's start S; waits up to M ms for one.
//     GET /relay/members?domain=D&wait_ms=M
//         A referral to the members of a failure domain; waits up to M ms until they are known.
//
// A caller that can relay itself adds its address as relay=ADDRESS. Responds with 200 and changes
// encoded by relay_codec, or a referral; 410 if the cursor is unknown (the client must list
// again); 409 and a referral if this node does not relay the part and will hardly do so; 502 and a
// referral if it has lost the store; 503 and a referral if it is able to relay, but another node
// does at present.
//
// Responses with changes state up to which time the node knows all changes, as the time since the
// request arrived: a relay that answers may be behind itself.
#pragma once

#include "pomelohead/discovery/referral.h"
#include "pomelohead/discovery/relay_selector.h"
#include "pomelohead/forwarding/http_server.h"
#include "pomelohead/source/relay.h"

#include <list>

namespace pomelohead::discovery {

/// Path of the page that refers starting nodes.
inline constexpr std::string_view members_path = "/relay/members";

/// Header of responses with changes: up to when the relay knows all changes, in milliseconds since
/// it received the request; negative if that was earlier.
inline constexpr std::string_view as_of_header = "Pomelohead-As-Of-Ms";

/// Returns the URL path of a part.
[[nodiscard]] std::string relay_path(source::store_part part);

/// The changes that are relayed for one part, and whether this node relays it.
struct served_part {
    source::relay& m_relay;
    relay_selector& m_relay_selector; ///< decides which node relays the part
    milliseconds m_max_age{0};        ///< followers do not take what is older
};

class relay_server {
public:
    /// Returns the members of a failure domain; empty while none is known.
    using members_fn = std::function<std::vector<std::string>(const std::string& failure_domain)>;

    /// `io` and the referenced relays and selectors must outlive the object.
    relay_server(boost::asio::io_context& io, const forwarding::endpoint& local_endpoint,
                 const served_part& configuration, const served_part& registrations,
                 members_fn members);

    bool start(reason& why) { return m_server.start(why); }

    /// Lets waiting requests look at the members again.
    void members_changed() { wake_waiters(); }

    /// Whether a starting node has asked for members that were not known.
    [[nodiscard]] bool was_asked_in_vain() const { return m_was_asked_in_vain; }

    /// Rejects all requests from now on, so that other nodes switch to the store before this node
    /// stops.
    void leave();

    /// Stops the server. Suspends the calling fiber until all calls have ended.
    void stop();

private:
    void serve(forwarding::server_exchange& exchange);
    void serve_members(forwarding::server_exchange& exchange, const std::string& target);
    void serve_part(forwarding::server_exchange& exchange, const std::string& target,
                    const served_part& part);
    void answer(forwarding::server_exchange& exchange, unsigned status, const std::string& body,
                std::optional<milliseconds> as_of = std::nullopt);
    /// Waits until `is_done`, the caller disconnects, or `limit` has passed.
    void wait_until(forwarding::server_exchange& exchange, duration limit,
                    const std::function<bool()>& is_done);
    /// Only a node in contact with the store itself may relay: changes are relayed over one hop.
    [[nodiscard]] bool can_serve(const served_part& part) const
    {
        return !m_is_leaving && part.m_relay.feed() == source::relay_feed::store &&
               part.m_relay_selector.is_relay(clock_type::now());
    }
    [[nodiscard]] static bool is_fresh(const served_part& part)
    {
        const std::optional<time_point>& as_of = part.m_relay.as_of();
        return as_of && clock_type::now() - *as_of < part.m_max_age;
    }
    void wake_waiters();

    served_part m_configuration;
    served_part m_registrations;
    members_fn m_members;
    bool m_is_leaving = false;
    bool m_was_asked_in_vain = false;
    std::list<fiber_event*> m_waiters;
    forwarding::http_server m_server;
};

} // namespace pomelohead::discovery
