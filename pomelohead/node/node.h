// A node: the one process of the system on each target host.
//
// It joins the slices: distribution gives the configuration and the view of other
// nodes; the entry takes callers' requests; the owner hands them to the target
// beside it; the admin page shows all of it to operators.
//
//     boost::asio::io_context& io = install_fiber_scheduler();
//     node n(settings, io);
//     reason why;
//     if (!n.start(why)) ...
//     n.wait();   // until a graceful stop is over
#pragma once

#include "pomelohead/discovery/catalog.h"
#include "pomelohead/lifecycle/drain.h"
#include "pomelohead/lifecycle/freeze.h"
#include "pomelohead/node/adapter.h"
#include "pomelohead/node/member_view.h"
#include "pomelohead/node/node_options.h"
#include "pomelohead/runtime/asio_timer_service.h"
#include "pomelohead/runtime/loop_delay.h"

namespace pomelohead::node {

/// All parts of one running node.
class node {
public:
    /// `io` must outlive the node.
    node(settings::node_settings settings, boost::asio::io_context& io, const adapter& parts = {});
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// Opens all ports and begins. Fails at once where a port cannot be opened; see port_wait.h.
    bool start(reason& why);

    /// Begins a graceful stop. Idempotent.
    void stop() { m_shutdown.begin(); }

    /// Takes over what may change while a node runs: the store's address and this
    /// host's service. Other changes are reported and wait for the next start.
    void reload(const settings::node_settings& changed);

    /// Gives the target beside this node no new work until resume(), or until the
    /// process ends. Requests that run go on.
    void drain() { m_drained_by_operator = true; }
    void resume() { m_drained_by_operator = false; }

    /// Suspends the calling fiber until the stop is over and all fibers have ended.
    void wait();

    /// Whether the target gets no new work, by any source of word.
    [[nodiscard]] bool is_draining(const std::string& target);
    /// Which sources say so; empty where none does.
    [[nodiscard]] std::string drain_sources(const std::string& target) const;

    [[nodiscard]] const settings::node_settings& settings() const { return m_settings; }
    /// The configuration in force with its targets; null before the first.
    [[nodiscard]] config::snapshot_ptr current() const;
    /// Whether callers may be sent to this node.
    [[nodiscard]] bool is_ready() const;

    [[nodiscard]] distribution::distributor& distributor() { return m_distributor; }
    [[nodiscard]] forwarding::entry_service& entry() { return m_entry; }
    [[nodiscard]] forwarding::owner_service& owner() { return m_owner; }
    [[nodiscard]] member_view& members() { return m_members; }
    [[nodiscard]] metrics& stats() { return m_stats; }
    [[nodiscard]] const lifecycle::graceful_shutdown& shutdown() const { return m_shutdown; }
    [[nodiscard]] timer_service& timers() { return m_timers; }
    [[nodiscard]] duration uptime() const { return m_timers.now() - m_started; }

private:
    void on_phase(lifecycle::shutdown_phase phase);
    void cut_connections();
    void on_configuration(const config::snapshot_ptr& config);
    [[nodiscard]] discovery::open_part_fn opener_of(const settings::source_settings& where);
    void add_gauges();
    void refresh();
    void notice_freeze();
    [[nodiscard]] bool is_confirmed() const;
    [[nodiscard]] std::optional<duration> configuration_age() const;
    [[nodiscard]] bool is_configuration_current() const;
    void notice_configuration_age();
    void serve_ready(forwarding::server_exchange& exchange);
    [[nodiscard]] bool is_host(const std::string& address) const;
    [[nodiscard]] lifecycle::drain_view drain_view_of(const std::string& target) const;

    boost::asio::io_context& m_io;
    settings::node_settings m_settings;
    adapter::open_store_fn m_open_store;
    asio_timer_service m_timers;
    metrics m_stats;
    loop_delay m_delay;
    std::uint64_t m_incarnation;
    time_point m_started;
    bool m_drained_by_operator = false;
    bool m_was_configuration_current = true; ///< at the latest refresh
    lifecycle::freeze_detector m_freeze;
    std::optional<time_point>
        m_hold_until; ///< after a freeze: no new work, unless confirmed before
    std::unique_ptr<discovery::catalog> m_catalog; ///< where the settings name a store
    distribution::distributor m_distributor;       ///< elsewhere
    member_view m_members;
    lifecycle::graceful_shutdown m_shutdown;
    forwarding::owner_service m_owner;
    forwarding::entry_service m_entry;
    forwarding::http_server m_admin;
    std::string m_ready_path;
    forwarding::http_server m_ready;
    fiber_event m_stopped;
    timer_subscription m_refresh;
};

} // namespace pomelohead::node
