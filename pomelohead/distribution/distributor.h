// Distributes the configuration and the membership to one node.
//
// The facade of the folders source, membership and distribution: runs their core over
// sockets, in fibers of the calling thread.
//
//     distributor config({.m_self = {"bala-1", "127.0.1.1", "gwynedd", "bala"},
//                         .m_seeds = {"127.0.1.2"},
//                         .m_source = {.m_address = "127.0.0.1", .m_port = 7500}},
//                        timers, io);
//     config.on_applied([](config::snapshot_ptr now) { ... });
//     config.start();
//     ...
//     config.announce_leaving();
//     config.stop();
#pragma once

#include "pomelohead/distribution/core.h"
#include "pomelohead/distribution/traffic.h"

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace pomelohead::distribution {

/// Settings of a distributor.
struct distribution_options {
    node_identity m_self;
    std::uint16_t m_control_port = 7402; ///< the same on all nodes
    std::vector<std::string> m_seeds;    ///< IPs of nodes to contact first
    source::source_options m_source;
    core_options m_core{}; ///< tunables; m_self, m_seeds and m_epoch are overwritten
    log_hook m_log;        ///< optional
    std::vector<std::string> m_blocked_peers; ///< IPs without connections; for partition tests
};

/// The state shown on the admin page.
struct distribution_status {
    membership::incarnation m_incarnation = 0;
    config::version_number m_version = 0; ///< in force; 0: none
    std::string m_manifest_hash;
    std::optional<milliseconds> m_config_age; ///< since it was last known to be the source's newest
    std::optional<milliseconds> m_in_force_for;
    source::source_status m_source;
    std::optional<milliseconds>
        m_source_contact_age; ///< since the last answer of the source to this node
    std::optional<refusal> m_last_refusal;
    config::version_number m_highest_claimed_version =
        0;                                     ///< newer than in force, claimed by peers; 0: none
    bool m_joined = false;                     ///< the first peers replied, or timed out
    std::optional<milliseconds> m_last_freeze; ///< length of this process's last freeze
    bool m_confirmed = true;   ///< false: the membership view is unconfirmed since a freeze
    bool m_superseded = false; ///< another process took over this address
    std::size_t m_link_count = 0;
    std::uint64_t m_bytes_sent = 0;        ///< to peers and source, without TCP/IP headers
    std::uint64_t m_bytes_received = 0;    ///< from peers and source, without TCP/IP headers
    std::uint64_t m_source_bytes = 0;      ///< part of both, exchanged with the source
    std::vector<message_count> m_messages; ///< to and from peers, by type
};

/// A node's configuration and its view of the other nodes.
class distributor {
public:
    /// `timers` and `io` must outlive the distributor.
    distributor(distribution_options options, timer_service& timers, boost::asio::io_context& io);
    /// If start() was called, stop() must have been called too.
    ~distributor();
    distributor(const distributor&) = delete;
    distributor& operator=(const distributor&) = delete;

    /// Opens the control port and starts. Returns false with the reason if the port cannot
    /// be opened.
    bool start(reason& why);
    bool start();

    /// Ends all fibers and connections; suspends the calling fiber until then.
    void stop();

    /// The configuration in force; null before the first.
    [[nodiscard]] config::snapshot_ptr current() const;

    /// Registers `hook`, which is called in a fiber with each configuration that comes into
    /// force.
    void on_applied(std::function<void(config::snapshot_ptr)> hook);

    /// Registers `hook`, which is called after each freeze of this process with its length.
    void on_resumed(std::function<void(duration)> hook);

    /// All known nodes, this one included; sorted by address.
    [[nodiscard]] std::vector<membership::member> members() const;

    /// Tells the peers that this node is leaving. Idempotent.
    void announce_leaving();

    /// Closes the connections to these IPs and allows no new ones. Replaces the earlier list.
    void set_blocked_peers(std::vector<std::string> addresses);

    [[nodiscard]] distribution_status status() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace pomelohead::distribution
