// Replicates among owners which requests have crashed a target.
//
// Only the owners of one service can receive such a request, so only they are notified: each
// directly, and before the failure is reported to the entry. A caller that retries the request
// therefore finds every reachable owner informed. Owners that a push did not reach get the marks
// by anti-entropy: a periodic message to one random owner of the service.
//
//     crash_mark_replicator replicator(io, timers, options, config, quarantine);
//     replicator.start();
//     replicator.mark_changed("rota");    // after quarantine.record_crash(...)
//     replicator.push_changes("rota");    // in a fiber: waits for all owners, or the time-out
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/forwarding/http_server.h"
#include "pomelohead/outcome/quarantine.h"

#include <map>
#include <random>
#include <set>

namespace pomelohead::forwarding {

/// The path at which owners receive each other's crash marks.
inline constexpr std::string_view crash_marks_path = "/.pomelohead/crash-marks";

struct crash_mark_replicator_options {
    endpoint m_self;                                          ///< this node's owner port
    duration m_push_timeout = std::chrono::milliseconds(150); ///< for one push to all owners
    duration m_anti_entropy_period = std::chrono::seconds(5); ///< between anti-entropy messages
    std::uint64_t m_seed = 0;                                 ///< of the random number generator
};

/// Sends and receives the crash marks of one node.
class crash_mark_replicator {
public:
    /// All references must outlive the object.
    crash_mark_replicator(boost::asio::io_context& io, timer_service& timers,
                          crash_mark_replicator_options options,
                          std::function<config::snapshot_ptr()> config,
                          outcome::quarantine& quarantine);

    /// Starts the periodic anti-entropy.
    void start();

    /// Records that a request of this service has changed the quarantine.
    void mark_changed(const std::string& service) { ++m_services[service].m_changes; }

    /// Waits until all changes have been pushed to the service's other owners, or the time-out has
    /// passed. Returns at once if there are none to push.
    void push_changes(const std::string& service);

    /// Records a change and pushes it in a separate fiber.
    void push_changes_async(const std::string& service);

    /// Merges the marks of another owner: a POST to crash_marks_path.
    void handle_push(server_exchange& exchange);

private:
    struct service_state {
        std::uint64_t m_changes = 0;
        std::uint64_t m_pushed_changes = 0;       ///< the value of m_changes at the last push
        std::shared_ptr<fiber_event> m_push_done; ///< set at the end of the push in progress
    };

    [[nodiscard]] std::set<std::string> other_owners(const std::string& service) const;
    void push(const std::string& service);
    void send(const std::string& address);
    void run_anti_entropy();

    boost::asio::io_context& m_io;
    timer_service& m_timers;
    crash_mark_replicator_options m_options;
    std::function<config::snapshot_ptr()> m_config;
    outcome::quarantine& m_quarantine;
    std::mt19937_64 m_random;
    std::map<std::string, service_state> m_services;
    timer_subscription m_anti_entropy_timer;
    fiber_group m_fibers;
};

} // namespace pomelohead::forwarding
