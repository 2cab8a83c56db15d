// A node's configuration and targets, kept up to date from a key-value store.
//
//     catalog targets(options, timers, open_store, decode, seed);
//     targets.on_snapshot([&](const config::snapshot_ptr& now) { use(now); });
//     targets.start();
//     ...
//     targets.stop();   // suspends the calling fiber until no call is under way
#pragma once

#include "pomelohead/discovery/directory.h"
#include "pomelohead/runtime/fiber.h"
#include "pomelohead/source/store_follower.h"

#include <functional>
#include <memory>
#include <optional>

namespace pomelohead::discovery {

/// How each part of the store is followed.
struct catalog_options {
    source::follower_options m_configuration;
    source::follower_options m_registrations;
};

/// Opens a client for one part of the store.
using open_part_fn =
    std::function<std::unique_ptr<source::key_value_store>(source::store_part part)>;

/// Runs the followers' calls in fibers and hands what they hear to a directory.
class catalog {
public:
    /// `timers` must outlive the object.
    catalog(const catalog_options& options, timer_service& timers, const open_part_fn& open,
            decode_fn decode, std::uint64_t seed);

    /// Sets the hook that is called with each new snapshot.
    void on_snapshot(std::function<void(const config::snapshot_ptr&)> hook);

    void start();

    /// Reads everything again, as after a freeze.
    void restart();

    /// Follows another store, or the same one at another address.
    void use_store(const open_part_fn& open);

    /// Whether the store has confirmed since restart() what this node believes.
    [[nodiscard]] bool is_confirmed() const;

    void stop();

    /// Null before the first configuration.
    [[nodiscard]] config::snapshot_ptr current() const { return m_directory.current(); }
    [[nodiscard]] const reason& last_refusal() const { return m_directory.last_refusal(); }

private:
    // One part of the store and the client that follows it.
    struct followed_part {
        std::string_view m_name; ///< in log lines
        // Clients that were replaced end their calls by themselves, and live until then.
        std::shared_ptr<source::key_value_store> m_store;
        std::optional<source::store_follower> m_follower;
    };

    [[nodiscard]] source::follower_hooks make_hooks(followed_part& part);

    timer_service& m_timers;
    std::function<void(const config::snapshot_ptr&)> m_on_snapshot;
    directory m_directory;
    followed_part m_configuration;
    followed_part m_registrations;
    std::optional<time_point> m_restarted;
    fiber_group m_calls;
};

} // namespace pomelohead::discovery
