// Queries a target's health page for its warm-up, for the target's owner.
//
// warm_up_schedule.h decides when. Queries run one at a time, in fibers of a group that the owner
// waits for when it stops, on a connection that is kept for them. A query in progress keeps the
// probe alive, so that the target may be removed meanwhile; after stop() it reports nothing.
//
//     auto probe = std::make_shared<warm_up_probe>(io, timers, fibers, std::move(options));
//     probe->set_path("/health");
//     probe->record_suspicion();   // the target may have restarted
//     ...
//     probe->stop();
#pragma once

#include "pomelohead/forwarding/dialect.h"
#include "pomelohead/forwarding/http_get.h"
#include "pomelohead/forwarding/warm_up_schedule.h"
#include "pomelohead/runtime/fiber.h"

#include <memory>

namespace pomelohead::forwarding {

/// What a probe queries, and whom it reports to. The functions are called until stop(); they must
/// not block.
struct warm_up_probe_options {
    std::string m_target; ///< its name, which is its id on the health page
    endpoint m_where;     ///< its address
    read_health_fn m_read_health;
    std::function<warm_up_view(time_point now)> m_view;
    /// A query is about to be written; it takes a slot of the target.
    std::function<void(time_point now)> m_on_query;
    /// The target has stated for how long it warms up from now on.
    std::function<void(duration left, time_point asked_at, time_point now)> m_on_answer;
    /// A query has failed though the target may have taken it; another one follows.
    std::function<void(time_point now)> m_on_failure;
    /// The target accepts no connection, or another process responds at its address.
    std::function<void(time_point now)> m_on_possible_restart;
    std::function<void(std::string_view result)> m_on_result; ///< for a counter
};

/// The health queries of one target.
class warm_up_probe : public std::enable_shared_from_this<warm_up_probe> {
public:
    /// The references must outlive the queries; see fiber_group::wait().
    warm_up_probe(boost::asio::io_context& io, timer_service& timers, fiber_group& fibers,
                  warm_up_probe_options options);

    /// Sets the path of the health page.
    void set_path(std::string path) { m_path = std::move(path); }

    /// Records a sign that the target has restarted, and queries it at once. `is_certain`: a kept
    /// connection may lead to a process that is ending, and is not used again.
    void record_suspicion(bool is_certain);

    /// Records that a request starts at the target.
    void record_start();

    /// Examines the view again.
    void update();

    /// Ends the query in progress and sends no others.
    void stop();

private:
    void arm(duration delay);
    void examine();
    void query();
    void send_query(time_point asked_at);
    void evaluate(const full_response& response, time_point asked_at);
    void fail(query_failure kind, std::string_view result, const reason& why);

    timer_service& m_timers;
    fiber_group& m_fibers;
    warm_up_probe_options m_options;
    std::string m_path;
    connection_pool m_pool;
    in_flight_calls m_calls;
    warm_up_schedule m_schedule;
    bool m_is_querying = false;
    bool m_is_stopped = false;
    bool m_is_armed = false;
    std::string m_logged_failure; ///< since the latest answer
    timer_subscription m_timer;
};

} // namespace pomelohead::forwarding
