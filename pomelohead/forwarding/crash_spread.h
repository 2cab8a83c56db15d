// Owners tell each other which requests have crashed a target.
//
// Only the owners of one service can be given such a request, so only they are
// told, each of them directly, and before anybody is told that the request
// failed: a caller that sends it again finds every reachable owner warned. What a
// push could not reach, a slow exchange with one random owner of the service
// brings later.
//
//     crash_mark_replicator spread(io, timers, options, config, quarantine);
//     spread.start();
//     spread.changed("rota");    // after quarantine.crashed(...)
//     spread.tell("rota");       // in a fiber: waits until all know, or the limit
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/forwarding/http_server.h"
#include "pomelohead/outcome/quarantine.h"

#include <map>
#include <random>
#include <set>

namespace pomelohead::forwarding {

/// Where owners take each other's marks.
inline constexpr std::string_view crash_marks_path = "/.pomelohead/crash-marks";

struct crash_mark_replicator_options {
    endpoint m_self;                                          ///< this node's owner port
    duration m_push_timeout = std::chrono::milliseconds(150); ///< for one push to all
    duration m_anti_entropy_period = std::chrono::seconds(5); ///< between slow exchanges
    std::uint64_t m_seed = 0;                                 ///< of the random choices
};

/// One node's part in the spread.
class crash_mark_replicator {
public:
    /// All references must outlive the object.
    crash_mark_replicator(boost::asio::io_context& io, timer_service& timers,
                          crash_mark_replicator_options options,
                          std::function<config::snapshot_ptr()> config,
                          outcome::quarantine& quarantine);

    /// Begins the slow exchange.
    void start();

    /// Notes that the quarantine has changed by a request of this service.
    void mark_changed(const std::string& service) { ++m_services[service].m_changes; }

    /// Waits until the service's other owners have been told of all changes, or
    /// the limit has passed. Returns at once where they have been.
    void push_changes(const std::string& service);

    /// Notes a change and tells of it in a fiber of its own.
    void push_changes_async(const std::string& service);

    /// Takes in another owner's marks: a POST to crash_marks_path.
    void handle_push(server_exchange& exchange);

private:
    struct service_state {
        std::uint64_t m_changes = 0;
        std::uint64_t m_pushed_changes = 0;       ///< the value of m_changes that has been pushed
        std::shared_ptr<fiber_event> m_push_done; ///< set at the end of the push under way
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
