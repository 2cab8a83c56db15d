// The owner's state of one target: slots, connections, crashes and warm-up.
//
// What may mean that the target has restarted is recorded here: until the target states otherwise
// it is then taken to warm up (admission/warm_up_limit.h), and is asked (warm_up_probe.h).
//
// All requests for the target pass through this object, so its counts are exact. A request waits
// for its slot here and is notified by a callback when the slot is granted or refused:
//
//     std::uint64_t id = target.allocate_id();
//     admission::decision d = target.offer(facts, false, {.m_granted = ..., .m_refused = ...});
//     ...
//     target.release(id, request_end::complete);
#pragma once

#include "pomelohead/admission/slot_queue.h"
#include "pomelohead/forwarding/connection_pool.h"
#include "pomelohead/forwarding/warm_up_probe.h"
#include "pomelohead/outcome/quarantine.h"
#include "pomelohead/routing/leaving_mark.h"
#include "pomelohead/telemetry/metrics.h"

#include <deque>
#include <map>
#include <optional>

namespace pomelohead::forwarding {

/// Callbacks of a queued request. Called from the event loop or from another request's fiber, one
/// after another; must not block. They may call the target.
struct slot_callbacks {
    std::function<void()> m_granted;
    std::function<void(milliseconds retry_after)> m_refused;
};

/// What the configuration states of a target's warm-up.
struct warm_up_settings {
    double m_rate = 0; ///< requests a second while it warms up; 0: any
    duration m_time{}; ///< how long it warms up after its start
    std::string m_health_path;
    bool m_is_evacuated = false; ///< its failure domain gets no requests

    bool operator==(const warm_up_settings&) const = default;
};

/// What an owner provides for learning whether its targets warm up.
struct warm_up_context {
    time_point m_counted_since{};    ///< another owner may have started requests until then
    fiber_group* m_fibers = nullptr; ///< of the health queries; null: the target is not queried
    read_health_fn m_read_health;
    std::function<bool()> m_is_draining;
    metrics* m_stats = nullptr; ///< set where m_fibers is
};

/// One target with its running and its queued requests.
class owned_target {
public:
    /// `io` and `timers` must outlive the object.
    owned_target(boost::asio::io_context& io, timer_service& timers, config::target target,
                 admission::admission_options options, warm_up_context warm_up = {});
    owned_target(const owned_target&) = delete;
    owned_target& operator=(const owned_target&) = delete;
    ~owned_target();

    [[nodiscard]] const config::target& target() const { return m_target; }

    /// Applies changed slots, shed rules, connections or warm-up.
    void update(const config::target& target, const std::vector<config::shed_rule>& rules,
                const warm_up_settings& warm_up = {});

    /// Ends the health queries, for a target that this owner has no longer.
    void stop_queries();

    /// Returns the id for a new request.
    [[nodiscard]] std::uint64_t allocate_id() { return ++m_last_id; }

    /// Offers a request to admission. If it is queued, exactly one callback is called later, unless
    /// withdraw() is called first. An `isolated` request must run alone on the target.
    [[nodiscard]] admission::decision offer(const admission::request_facts& facts, bool isolated,
                                            slot_callbacks callbacks);

    /// Removes a request from the queue.
    void withdraw(std::uint64_t id);

    /// Releases the slot of a request that has ended.
    void release(std::uint64_t id, admission::request_end how);

    /// Records what an answer to a request that was handed over at `handed_over` states.
    void record_statement(const target_statement& statement, time_point handed_over);

    /// Whether the target has said that it leaves.
    [[nodiscard]] bool is_leaving() const
    {
        return m_leaving.holds(m_target.m_started_ms, m_timers.now());
    }

    /// Records that another target responds at the address. This target gets no further requests
    /// until its registration has had time to lapse.
    void mark_displaced();
    [[nodiscard]] bool is_displaced() const { return m_timers.now() < m_displaced_until; }

    [[nodiscard]] admission::load_report load_report() const { return m_queue.current_load(); }
    [[nodiscard]] const admission::slot_queue& queue() const { return m_queue; }
    [[nodiscard]] connection_pool& pool() { return m_pool; }

    /// Records that no connection to the target could be opened.
    void record_connect_failure(const reason& why);

    /// Records that a request is handed to the target; returns the epoch in which it runs.
    std::uint64_t record_handover(std::uint64_t id, std::string fingerprint);

    /// Ends the epoch because the target's process has exited; returns the fingerprints of the
    /// requests in flight, or nothing if the epoch has already ended.
    [[nodiscard]] std::vector<std::string> end_epoch(std::uint64_t epoch);

    /// Whether the target's process of this epoch has exited; called after a connection to it was
    /// lost. Takes some tens of milliseconds if it has not.
    [[nodiscard]] bool detect_crash(std::uint64_t epoch);

private:
    // A registration lapses within three heartbeats, which are one or two seconds apart.
    static constexpr duration displacement_hold = std::chrono::seconds(5);

    struct in_flight_request {
        std::uint64_t m_epoch = 0;
        std::string m_fingerprint;
    };

    struct notification {
        std::uint64_t m_id = 0;
        std::optional<milliseconds> m_retry_after; ///< of a refused request
    };

    [[nodiscard]] warm_up_probe_options make_probe_options();
    [[nodiscard]] warm_up_view view_warm_up(time_point now) const;
    void suspect_restart();
    void limit_until_answer(time_point now);
    void report_warm_up();

    void add_grants(const std::vector<std::uint64_t>& ids);
    void add_refusals(const std::vector<std::uint64_t>& ids);
    void notify_first();
    void process_queue();

    boost::asio::io_context& m_io;
    timer_service& m_timers;
    config::target m_target;
    admission::slot_queue m_queue;
    connection_pool m_pool;
    std::uint64_t m_last_id = 0;
    std::uint64_t m_epoch = 1;
    time_point m_displaced_until{};
    timer_subscription m_displacement_timer;
    routing::leaving_mark m_leaving;
    std::uint64_t m_isolated_id = 0; ///< the request that runs in isolation; 0: none
    std::map<std::uint64_t, slot_callbacks> m_queued_callbacks;
    std::map<std::uint64_t, in_flight_request> m_in_flight;
    std::deque<notification> m_notifications; ///< to requests that were granted or refused
    bool m_is_queue_changed = false;          ///< since process_queue() has examined it
    bool m_is_processing = false;
    timer_subscription m_queue_timer;

    enum class warm_up_state { warm, assumed, stated };

    warm_up_context m_warm_up_context;
    warm_up_settings m_warm_up;
    warm_up_state m_reported_warm_up = warm_up_state::warm; ///< in the log
    timer_subscription m_warm_up_timer;                     ///< the end of the limit
    std::shared_ptr<warm_up_probe> m_probe;                 ///< null: the target is not queried
};

} // namespace pomelohead::forwarding
