// The graceful stop of a node.
//
//     serving --begin--> announcing --lame duck over--> finishing --idle--> stopped
//                                                            \--bound over--> stopped
//
// From begin() on, the node's own target receives no new requests, and the node
// announces its departure to its peers. During the lame-duck period callers are still
// accepted (their requests go to other owners), and "Connection: close" on responses
// makes them reconnect elsewhere. Then the listener closes, and all requests in flight
// finish, however long they take, unless the operator has set a time limit. It also holds once no
// request is in flight, as a connection may still be read: on_cut is called then. With a time limit
// the lame-duck period takes at most half of it, and requests that come during the stop have to
// end a little before it is over, so that callers get their final answers.
//
//     graceful_shutdown stop(timers, {.m_lame_duck = 5s}, [&](shutdown_phase phase) {
//         if (phase == shutdown_phase::finishing) { listener.close(); }
//     });
//     stop.request_began();
//     stop.begin();              // announcing
//     timers.advance(5s);        // finishing
//     stop.request_ended();      // stopped
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

namespace pomelohead::lifecycle {

enum class shutdown_phase { serving, announcing, finishing, stopped };

[[nodiscard]] std::string_view to_string(shutdown_phase value);

struct shutdown_options {
    duration m_lame_duck = std::chrono::seconds(5); ///< until the listener closes
    std::optional<duration> m_bound; ///< from begin() to a forced stop; unset: no limit

    bool operator==(const shutdown_options&) const = default;
};

/// The state of the shutdown state machine.
struct shutdown_state {
    shutdown_phase m_phase = shutdown_phase::serving;
    std::size_t m_in_flight = 0; ///< requests that this node is handling as entry or owner
    bool m_cut = false;          ///< the time limit has expired

    bool operator==(const shutdown_state&) const = default;
};

enum class shutdown_event { begin, lame_duck_over, bound_over, request_began, request_ended };

/// The state after `event`; an event that does not apply to the phase changes nothing.
[[nodiscard]] shutdown_state step(const shutdown_state& state, shutdown_event event);

/// Whether new connections and requests from callers are accepted.
[[nodiscard]] bool accepts_callers(shutdown_phase phase);

/// Whether the target beside the node may receive new requests.
[[nodiscard]] bool accepts_work(shutdown_phase phase);

/// Whether responses carry "Connection: close".
[[nodiscard]] bool closes_connections(shutdown_phase phase);

/// Between the time by which requests have to end and the end of the stop: for their answers to be
/// written and sent.
inline constexpr duration final_answer_time = std::chrono::milliseconds(200);

/// Runs the state machine on a timer_service and calls a hook on each phase change, and one when
/// the time limit expires.
class graceful_shutdown {
public:
    /// `timers` must outlive the object. The hooks may be empty.
    graceful_shutdown(timer_service& timers, shutdown_options options,
                      std::function<void(shutdown_phase)> on_phase,
                      std::function<void()> on_cut = {});

    /// Begins the shutdown. Idempotent.
    void begin();

    /// Counts a request that this node handles, as entry or owner.
    void request_began() { handle(shutdown_event::request_began); }
    void request_ended() { handle(shutdown_event::request_ended); }

    /// When the requests that come now have to end; time_point::max() while the node serves and if
    /// the stop has no time limit.
    [[nodiscard]] time_point finish_by() const;

    [[nodiscard]] const shutdown_state& state() const { return m_state; }
    [[nodiscard]] shutdown_phase phase() const { return m_state.m_phase; }

private:
    void handle(shutdown_event event);

    timer_service& m_timers;
    shutdown_options m_options;
    std::function<void(shutdown_phase)> m_on_phase;
    std::function<void()> m_on_cut;
    shutdown_state m_state;
    std::optional<time_point> m_cut_at; // end of a stop with a time limit
    timer_subscription m_lame_duck;
    timer_subscription m_bound;
};

} // namespace pomelohead::lifecycle
