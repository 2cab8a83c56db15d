// The owner side of a node: accepts requests from entries and hands them to the targets on its
// host.
//
// There is one owner_service per node, listening on the owner port. It owns the targets whose
// address in the configuration is its own. Each request is served by one owner_exchange
// (owner_exchange.h).
//
//     owner_service owner(io, timers, stats, options, callbacks);
//     owner.apply(snapshot);
//     reason why;
//     if (!owner.start(why)) ...
#pragma once

#include "pomelohead/admission/call_routes.h"
#include "pomelohead/forwarding/buffered_body.h"
#include "pomelohead/forwarding/crash_mark_replicator.h"
#include "pomelohead/forwarding/dialect.h"
#include "pomelohead/forwarding/owned_target.h"
#include "pomelohead/forwarding/settled_version.h"
#include "pomelohead/outcome/ticket.h"
#include "pomelohead/telemetry/metrics.h"

#include <set>

namespace pomelohead::forwarding {

class owner_exchange;

/// Settings of the owner side.
struct owner_options {
    endpoint m_listen;               ///< the owner port
    std::uint64_t m_incarnation = 0; ///< of this process; part of its tickets
    std::size_t m_max_buffered_bytes_per_request = 1024UL * 1024UL;
    std::size_t m_max_buffered_bytes = 32UL * 1024UL * 1024UL;
    admission::admission_options m_admission;
    outcome::quarantine_options m_quarantine;
    outcome::ticket_options m_tickets;
    dialect m_dialect = make_native_dialect(); ///< of the targets
    /// How long this node has known a version when an entry that does not know it is behind;
    /// nullopt: entries are not checked.
    std::optional<duration> m_settle_time;
};

/// Callbacks into the rest of the node.
struct owner_callbacks {
    std::function<config::snapshot_ptr()> m_config;
    std::function<bool(const std::string& target)> m_is_draining; ///< according to any source
    std::function<void()> m_on_request_started;
    std::function<void()> m_on_request_ended;
    /// How late this process comes to its work.
    std::function<duration()> m_delay = [] { return duration::zero(); };
};

/// All owned targets of one node and the listener for them.
class owner_service {
public:
    /// All references must outlive the service.
    owner_service(boost::asio::io_context& io, timer_service& timers, metrics& stats,
                  owner_options options, owner_callbacks callbacks);
    owner_service(const owner_service&) = delete;
    owner_service& operator=(const owner_service&) = delete;
    ~owner_service();

    bool start(reason& why);

    /// Follows a new configuration. Refuses the pending requests of targets whose failure domain
    /// it begins to evacuate.
    void apply(const config::snapshot& config);

    /// Reevaluates all requests that have not been handed over, for example after the process was
    /// frozen.
    void reevaluate_pending_requests();

    [[nodiscard]] http_server& server() { return m_server; }
    [[nodiscard]] const outcome::quarantine& quarantine() const { return m_quarantine; }

    /// Releases a fingerprint from quarantine on behalf of the operator and notifies the other
    /// owners. Returns false if the fingerprint is not quarantined.
    bool release(const std::string& fingerprint);

    [[nodiscard]] const std::map<std::string, std::shared_ptr<owned_target>>& targets() const
    {
        return m_targets;
    }

    /// The number of targets that are limited because they warm up, or are assumed to.
    [[nodiscard]] std::size_t count_warming_up() const;

private:
    friend class owner_exchange;

    [[nodiscard]] std::shared_ptr<owned_target> make_target(const config::target& target);
    void serve(server_exchange& exchange);
    void issue_ticket(server_exchange& exchange);
    /// Records where a request entered the mesh, and returns whether it is a call of a target.
    bool record_caller(const http::header<true>& request, const std::string& route,
                       const std::string& service);
    [[nodiscard]] bool is_outdated(const http::header<true>& request, const std::string& service);

    boost::asio::io_context& m_io;
    timer_service& m_timers;
    metrics& m_stats;
    owner_options m_options;
    owner_callbacks m_callbacks;
    body_budget m_body_budget;
    outcome::quarantine m_quarantine;
    crash_mark_replicator m_crash_marks;
    outcome::ticket_ledger m_ledger;
    std::map<std::uint64_t, std::shared_ptr<fiber_event>>
        m_ticket_completions;     ///< by the serial number of a running ticket
    time_point m_started;         ///< another owner may have served the targets until then
    fiber_group m_health_queries; ///< of all targets
    std::map<std::string, std::shared_ptr<owned_target>> m_targets; ///< by name
    std::set<owner_exchange*> m_exchanges;                          ///< in progress
    settled_version m_settled_version;
    admission::call_routes m_call_routes;
    std::map<std::string, double> m_host_share;   ///< of the hosts with a target, by service
    std::vector<std::string> m_evacuated_domains; ///< of the latest configuration
    http_server m_server;
};

} // namespace pomelohead::forwarding
