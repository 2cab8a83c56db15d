// Owners tell each other which requests have crashed a target.
//
// Only the owners of one service can be given such a request, so only they are
// told, each of them directly, and before anybody is told that the request
// failed: a caller that sends it again finds every reachable owner warned. What a
// push could not reach, a slow exchange with one random owner of the service
// brings later.
//
//     crash_spread spread(io, timers, options, config, quarantine);
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

struct crash_spread_options {
    endpoint m_self;                                   ///< this node's owner port
    duration m_limit = std::chrono::milliseconds(150); ///< for one push to all
    duration m_period = std::chrono::seconds(5);       ///< between slow exchanges
    std::uint64_t m_seed = 0;                          ///< of the random choices
};

/// One node's part in the spread.
class crash_spread {
public:
    /// All references must outlive the object.
    crash_spread(boost::asio::io_context& io, timer_service& timers, crash_spread_options options,
                 std::function<config::snapshot_ptr()> config, outcome::quarantine& quarantine);

    /// Begins the slow exchange.
    void start();

    /// Notes that the quarantine has changed by a request of this service.
    void changed(const std::string& service) { ++m_services[service].m_changes; }

    /// Waits until the service's other owners have been told of all changes, or
    /// the limit has passed. Returns at once where they have been.
    void tell(const std::string& service);

    /// Notes a change and tells of it in a fiber of its own.
    void tell_later(const std::string& service);

    /// Takes in another owner's marks: a POST to crash_marks_path.
    void receive(server_exchange& exchange);

private:
    struct service_state {
        std::uint64_t m_changes = 0;
        std::uint64_t m_told = 0;            ///< the value of m_changes that has been pushed
        std::shared_ptr<fiber_event> m_push; ///< set at the end of the push under way
    };

    [[nodiscard]] std::set<std::string> other_owners(const std::string& service) const;
    void push(const std::string& service);
    void send(const std::string& address);
    void exchange_slowly();

    boost::asio::io_context& m_io;
    timer_service& m_timers;
    crash_spread_options m_options;
    std::function<config::snapshot_ptr()> m_config;
    outcome::quarantine& m_quarantine;
    std::mt19937_64 m_random;
    std::map<std::string, service_state> m_services;
    timer_subscription m_tick;
    fiber_group m_fibers;
};

} // namespace pomelohead::forwarding
