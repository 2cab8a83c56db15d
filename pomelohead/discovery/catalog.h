// Keeps a node's configuration and targets up to date from a key-value store.
//
//     catalog targets(io, options, timers, open_store, decode);
//     targets.on_snapshot([&](const config::snapshot_ptr& now) { use(now); });
//     targets.start();
//     ...
//     targets.stop();   // suspends the calling fiber until all calls have ended
#pragma once

#include "pomelohead/discovery/relay_selector.h"
#include "pomelohead/discovery/relay_server.h"
#include "pomelohead/discovery/relay_timing.h"
#include "pomelohead/discovery/seed_client.h"
#include "pomelohead/discovery/snapshot_builder.h"
#include "pomelohead/runtime/fiber.h"
#include "pomelohead/source/store_follower.h"

#include <functional>
#include <memory>
#include <optional>

namespace pomelohead::discovery {

/// How to follow each part of the store, and the identity of this node.
struct catalog_options {
    source::follower_options m_configuration;
    source::follower_options m_registrations;
    std::string m_address;
    std::uint16_t m_relay_port = 0; ///< the same on all nodes
    std::string m_failure_domain;
    std::uint64_t m_incarnation = 0;  ///< increases with each start on a host
    std::vector<std::string> m_seeds; ///< IP addresses of nodes to ask at the start
    relay_timing m_timing;
    /// Whether this host can relay a configuration to its whole failure domain in time.
    bool m_is_preferred_relay = true;
};

/// Opens a client for one part of the store.
using open_part_fn =
    std::function<std::unique_ptr<source::key_value_store>(source::store_part part)>;

/// Runs the store followers' calls in fibers and builds snapshots from the values received.
class catalog {
public:
    /// `timers` must outlive the object.
    catalog(boost::asio::io_context& io, const catalog_options& options, timer_service& timers,
            const open_part_fn& open, decode_fn decode);

    /// Sets the hook that is called with each new snapshot.
    void on_snapshot(std::function<void(const config::snapshot_ptr&)> hook);

    /// Asks the seeds for relays and starts following. Returns false if the relay's port cannot be
    /// opened.
    bool start(reason& why);

    /// Lists all values again, for example after the process was frozen.
    void restart();

    /// Switches to another store, or to the same one at another address.
    void use_store(const open_part_fn& open);

    /// Returns whether the store has responded for both parts since restart(); true without one.
    [[nodiscard]] bool is_confirmed() const;

    /// Stops relaying values to other nodes.
    void leave() { m_relay_server.leave(); }

    void stop();

    /// Returns how long ago this node knew all versions of the configuration; nullopt before the
    /// first list.
    [[nodiscard]] std::optional<duration> configuration_age() const;

    /// Null before the first configuration.
    [[nodiscard]] config::snapshot_ptr current() const { return m_snapshot_builder.current(); }
    [[nodiscard]] const reason& last_refusal() const { return m_snapshot_builder.last_refusal(); }

private:
    // One part of the store and the client that follows it.
    struct followed_part {
        std::string_view m_name; ///< in log lines
        // Calls in flight share ownership, so that a replaced client lives until they have ended.
        std::shared_ptr<source::key_value_store> m_store;
        std::optional<source::store_follower> m_follower;
        source::relay m_relay;
        relay_selector m_relay_selector;
    };

    void open_stores(const open_part_fn& open);
    void find_members();
    void follow();
    void set_members(const std::vector<std::string>& addresses);
    [[nodiscard]] source::follower_hooks make_hooks(followed_part& part);
    void restart_followers();
    void on_changes_applied();
    void update_relay_status(followed_part& part);

    boost::asio::io_context& m_io;
    catalog_options m_options;
    timer_service& m_timers;
    std::function<void(const config::snapshot_ptr&)> m_on_snapshot;
    snapshot_builder m_snapshot_builder;
    followed_part m_configuration;
    followed_part m_registrations;
    relay_server m_relay_server;
    seed_client m_seeds;
    bool m_is_following = false; ///< the followers have been started
    bool m_stopped = false;
    std::optional<time_point> m_restarted_at;
    fiber_group m_calls;
};

} // namespace pomelohead::discovery
