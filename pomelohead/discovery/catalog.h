// A node's configuration and targets, kept up to date from a key-value store.
//
//     catalog targets(options, timers, std::move(store), decode, seed);
//     targets.on_snapshot([&](const config::snapshot_ptr& now) { use(now); });
//     targets.start();
//     ...
//     targets.stop();   // suspends the calling fiber until no call is under way
#pragma once

#include "pomelohead/discovery/directory.h"
#include "pomelohead/runtime/fiber.h"
#include "pomelohead/source/store_follower.h"

#include <memory>

namespace pomelohead::discovery {

/// Runs a store_follower's calls in fibers and hands what it hears to a directory.
class catalog {
public:
    /// `timers` must outlive the object.
    catalog(source::follower_options options, timer_service& timers,
            std::unique_ptr<source::key_value_store> store, decode_fn decode, std::uint64_t seed);

    /// Sets the hook that is called with each new snapshot.
    void on_snapshot(std::function<void(const config::snapshot_ptr&)> hook);

    void start() { m_follower.start(); }

    /// Reads everything again, as after a freeze.
    void restart();

    /// Follows another store, or the same one at another address.
    void use_store(std::unique_ptr<source::key_value_store> store);

    /// Whether the store has confirmed since restart() what this node believes.
    [[nodiscard]] bool is_confirmed() const;

    void stop();

    /// Null before the first configuration.
    [[nodiscard]] config::snapshot_ptr current() const { return m_directory.current(); }
    [[nodiscard]] const source::follower_status& status() const { return m_follower.status(); }
    [[nodiscard]] const reason& last_refusal() const { return m_directory.last_refusal(); }

private:
    [[nodiscard]] source::follower_hooks make_hooks();

    timer_service& m_timers;
    // Stores that were replaced end their calls by themselves, and live until then.
    std::shared_ptr<source::key_value_store> m_store;
    std::function<void(const config::snapshot_ptr&)> m_on_snapshot;
    directory m_directory;
    source::store_follower m_follower;
    std::optional<time_point> m_restarted;
    fiber_group m_calls;
};

} // namespace pomelohead::discovery
