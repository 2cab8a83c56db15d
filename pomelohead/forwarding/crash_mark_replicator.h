// Replicates among owners which requests have crashed a target.
//
// Only the owners of one service can receive such a request, so only they are notified: each
// directly, and before the failure is reported to the entry. A caller that retries the request
// therefore finds every reachable owner informed. Owners that a push did not reach get the marks
// by anti-entropy: a periodic message to one random owner of the service. A service with few owners
// has further hosts hold its marks, so that the marks outlive the owners' processes.
//
// An owner that starts, or whose target comes back, knows nothing of the crashes meanwhile. It asks
// the other holders, and the requests of the service wait until one has answered, or for
// m_learn_limit at most: refusing them would turn callers away, and handing them over could crash
// the target.
//
//     crash_mark_replicator replicator(io, timers, options, config, quarantine);
//     replicator.start();
//     replicator.apply(*config());               // with each new configuration
//     replicator.wait_until_learned("rota");     // in a fiber, before quarantine.check(...)
//     replicator.mark_changed("rota");           // after quarantine.record_crash(...)
//     replicator.push_changes("rota");           // in a fiber: waits for all owners, or the
//     time-out
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

/// What a node knows of the crash marks of a service, from the moment at which it owns a target.
enum class mark_knowledge {
    learning, ///< asks the other holders, while requests wait
    assumed,  ///< no holder has told all its marks within the limit; asks again periodically
    complete, ///< a holder has told all its marks, or all holders have just started too
};

[[nodiscard]] std::string_view to_string(mark_knowledge value);

struct crash_mark_replicator_options {
    endpoint m_self;                                          ///< this node's owner port
    duration m_push_timeout = std::chrono::milliseconds(150); ///< for one push to all owners
    duration m_anti_entropy_period = std::chrono::seconds(5); ///< between anti-entropy messages
    /// How long requests wait for the marks. Covers three holders that do not answer.
    duration m_learn_limit = std::chrono::milliseconds(500);
    std::uint64_t m_seed = 0; ///< of the random number generator
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

    /// Begins to learn the marks of the services of which this node has become an owner.
    void apply(const config::snapshot& config);

    /// Suspends the calling fiber while the marks of a service are being learned, for m_learn_limit
    /// at most.
    void wait_until_learned(const std::string& service);

    /// `complete` for a service of which this node owns no target.
    [[nodiscard]] mark_knowledge knowledge(const std::string& service) const;

    /// Records that a request of this service has changed the quarantine.
    void mark_changed(const std::string& service) { ++m_services[service].m_changes; }

    /// Waits until all changes have been pushed to the service's other holders, or the time-out has
    /// passed. Returns at once if there are none to push.
    void push_changes(const std::string& service);

    /// Records a change and pushes it in a separate fiber.
    void push_changes_async(const std::string& service);

    /// Merges the marks of another node, a POST to crash_marks_path, and responds with those that
    /// it lacks: 200 if they are all that there are, 503 if this node is learning itself.
    void handle_push(server_exchange& exchange);

private:
    struct service_state {
        std::uint64_t m_changes = 0;
        std::uint64_t m_pushed_changes = 0;       ///< the value of m_changes at the last push
        std::shared_ptr<fiber_event> m_push_done; ///< set at the end of the push in progress
        bool m_is_owned = false;                  ///< by the latest configuration
        mark_knowledge m_knowledge = mark_knowledge::complete;
        std::shared_ptr<fiber_event> m_learned; ///< set when m_knowledge ceases to be `learning`
    };

    /// What another holder has answered to this node's marks.
    enum class peer_answer { none, learning, complete };

    [[nodiscard]] std::set<std::string> other_holders(const std::string& service) const;
    void push(const std::string& service);
    peer_answer exchange_marks(const std::string& address);
    void learn(const std::string& service);
    [[nodiscard]] mark_knowledge ask_holders(const std::string& service);
    void set_knowledge(const std::string& service, mark_knowledge value);
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
