// The entry side of a node: accepts callers' requests and sends each to an owner.
//
// There is one entry_service per node, listening on the caller port. Each request is served by one
// entry_exchange (entry_exchange.h). The service holds what the exchanges of a node share: owner
// selection, the budgets for retries and hedges, and the idle connections to owners.
//
//     entry_service entry(io, timers, stats, options, callbacks);
//     entry.apply(snapshot);
//     reason why;
//     if (!entry.start(why)) ...
#pragma once

#include "pomelohead/forwarding/buffered_body.h"
#include "pomelohead/forwarding/connection_pool.h"
#include "pomelohead/forwarding/dialect.h"
#include "pomelohead/routing/hedge_policy.h"
#include "pomelohead/routing/owner_selector.h"
#include "pomelohead/routing/response_sizes.h"
#include "pomelohead/routing/retry_policy.h"
#include "pomelohead/routing/unreachable_domains.h"
#include "pomelohead/routing/unreachable_hosts.h"
#include "pomelohead/routing/weighted_round_robin.h"
#include "pomelohead/telemetry/metrics.h"

#include <random>
#include <set>

namespace pomelohead::forwarding {

/// Settings of the entry side.
struct entry_options {
    endpoint m_listen;              ///< the caller port
    std::uint16_t m_owner_port = 0; ///< of all nodes
    std::string m_failure_domain;
    std::string m_region;
    std::uint64_t m_seed = 0; ///< of the random number generator
    std::size_t m_attempts = 3;
    std::size_t m_max_buffered_bytes_per_request = 1024UL * 1024UL;
    std::size_t m_max_buffered_bytes = 32UL * 1024UL * 1024UL;
    routing::routing_options m_routing;
    dialect m_dialect = make_native_dialect(); ///< of callers
    std::string m_service; ///< that runs on this host and calls through this node; may be empty
    bool m_pipelining = true;
};

/// Callbacks into the rest of the node.
struct entry_callbacks {
    std::function<config::snapshot_ptr()> m_config;
    std::function<bool(const std::string& address)> m_is_alive; ///< according to membership
    std::function<bool(const std::string& address)>
        m_is_host; ///< whether the address belongs to a host of the mesh
    std::function<void()> m_on_request_started;
    std::function<void()> m_on_request_ended;
    /// Whether this node would know every version that has to be in force by now.
    std::function<bool()> m_is_config_current = [] { return true; };
    /// How long ago this node knew all versions of the configuration; nullopt if it cannot tell.
    std::function<std::optional<duration>()> m_config_age = [] { return std::nullopt; };
    /// When a stop that has begun cuts the requests in progress; time_point::max() if none does.
    std::function<time_point()> m_finish_by = [] { return time_point::max(); };
};

/// The listener for callers and the state that their requests share.
class entry_service {
public:
    /// All references must outlive the service.
    entry_service(boost::asio::io_context& io, timer_service& timers, metrics& stats,
                  entry_options options, entry_callbacks callbacks);

    bool start(reason& why) { return m_server.start(why); }

    /// Applies a new configuration.
    void apply(const config::snapshot& config);

    /// Sets the service that runs on this host.
    void set_service(std::string name) { m_options.m_service = std::move(name); }

    /// Blocks connections to owners at these addresses; for tests of network partitions.
    void set_blocked_owners(std::set<std::string> addresses);

    [[nodiscard]] http_server& server() { return m_server; }
    [[nodiscard]] routing::owner_selector& selector() { return m_selector; }
    [[nodiscard]] const routing::reachable_fn& reachable() const { return m_reachable; }

private:
    friend class entry_exchange;
    friend class entry_attempt;
    friend std::optional<std::string> fetch_ticket(entry_service&, const config::target&,
                                                   time_point);

    void serve(server_exchange& exchange);
    void proxy_ticket_request(server_exchange& exchange);
    std::optional<config::target> choose_target(const config::snapshot& config,
                                                const config::service& service,
                                                const routing::call_attributes& call,
                                                const std::vector<std::string>& tried,
                                                const std::vector<std::string>& busy, reason& why);
    /// Of one request, those that ask targets to start it at once included.
    [[nodiscard]] std::size_t max_attempts() const
    {
        return m_options.m_attempts + m_options.m_routing.max_immediate_attempts();
    }
    std::unique_ptr<client_connection> connect_owner(const std::string& address,
                                                     const std::string& failure_domain,
                                                     time_point deadline, reason& why);
    /// Records that an owner has neither accepted a connection nor acknowledged data in time.
    void record_silence(const std::string& address, const std::string& failure_domain);
    connection_pool& pool(const std::string& address);
    std::string make_request_id();

    boost::asio::io_context& m_io;
    timer_service& m_timers;
    metrics& m_stats;
    entry_options m_options;
    entry_callbacks m_callbacks;
    body_budget m_body_budget;
    std::mt19937_64 m_random;
    std::uint64_t m_id_prefix;
    std::uint64_t m_last_id = 0;
    routing::owner_selector m_selector;
    routing::retry_policy m_retries;
    routing::hedge_policy m_hedges;
    routing::weighted_round_robin m_shares;
    routing::response_sizes m_response_sizes;
    routing::unreachable_hosts m_lost_hosts;
    routing::unreachable_domains m_lost_domains;
    routing::reachable_fn m_reachable;
    std::set<std::string> m_blocked;
    std::map<std::string, connection_pool> m_pools; ///< by the owner's address
    http_server m_server;
};

} // namespace pomelohead::forwarding
