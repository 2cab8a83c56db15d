// One node's distribution, without its I/O.
//
// The core ties together the versions (replicator) and the source (source_reader).
// It runs on a timer_service and hooks, so that tests drive whole fleets of cores
// on one manual clock. It is not reentrant: its owner calls it, and it calls the
// hooks, in one thread.
#pragma once

#include "pomelohead/distribution/replicator.h"
#include "pomelohead/source/source_reader.h"

namespace pomelohead::distribution {

/// Who a node is.
struct node_identity {
    std::string m_node;
    std::string m_address; ///< IP
    std::string m_region;
    std::string m_failure_domain;

    bool operator==(const node_identity&) const = default;
};

/// Tunables of a core.
struct core_options {
    node_identity m_self;
    std::vector<std::string> m_seeds; ///< IPs of some other nodes
    source::reader_options m_reader{};
    replicator_options m_replicator{};
    milliseconds m_tick{200}; ///< between looks at overdue requests
};

/// What a core asks of its owner.
struct core_hooks {
    std::function<void(const source::read_request&, std::function<void(source::read_answer)>)>
        m_read;
    std::function<void(const std::string& address, const message&)> m_send;
    std::function<void(config::snapshot_ptr)> m_applied;
    log_hook m_log;
};

/// A node's distribution.
class core {
public:
    core(core_options options, timer_service& timers, core_hooks hooks, std::uint64_t seed);
    core(const core&) = delete;
    core& operator=(const core&) = delete;

    void start();
    void stop();

    [[nodiscard]] const replicator& versions() const { return m_versions; }
    [[nodiscard]] const source::source_reader& reader() const { return m_reader; }

private:
    void tick();

    core_options m_options;
    timer_service& m_timers;
    core_hooks m_hooks;
    replicator m_versions;
    source::source_reader m_reader;
    timer_subscription m_tick;
};

} // namespace pomelohead::distribution
