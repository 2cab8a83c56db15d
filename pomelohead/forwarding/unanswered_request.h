// The record of a request whose connection ends without a complete response, or whose caller leaves
// before it.
//
//     if (exchange.is_unanswered()) {
//         record_unanswered(stats, {.m_id = id,
//                                   .m_phase = request_phase::at_target,
//                                   .m_side = request_side::owner,
//                                   .m_reason = exchange.failure()});
//     }
//
// writes the line request_unanswered and adds to requests_unanswered_total{side, phase};
// record_caller_left() writes caller_left and adds to callers_left_total{side, phase}.
#pragma once

#include "pomelohead/runtime/timer_service.h"
#include "pomelohead/telemetry/metrics.h"

#include <optional>
#include <string>

namespace pomelohead::forwarding {

/// How far a request had come.
enum class request_phase {
    unread,    ///< nothing of it has been read
    reading,   ///< its body is not complete
    queued,    ///< nothing of it has been passed on
    at_target, ///< passed on: by an entry to an owner, by an owner to its target
    answering, ///< a part of the response has been written
};

[[nodiscard]] std::string_view to_string(request_phase value);

/// Which side of the node serves the request.
enum class request_side { caller, owner };

[[nodiscard]] std::string_view to_string(request_side value);

struct unanswered_request {
    std::string m_id;
    request_phase m_phase = request_phase::reading;
    request_side m_side = request_side::caller;
    std::string m_reason;
};

void record_unanswered(metrics& stats, const unanswered_request& request);

/// A request whose caller, or whose entry, closed the connection before the response.
struct abandoned_request {
    std::string m_id;
    request_phase m_phase = request_phase::queued;
    request_side m_side = request_side::caller;
    duration m_unread{};                     ///< for which its bytes had been here when it was read
    duration m_held{};                       ///< from then on until it ended
    bool m_left_behind_unread_bytes = false; ///< of further requests
    std::optional<duration> m_passed_on;     ///< for which it had been passed on when its peer left
};

/// Counts a connection that ended with unread bytes of a request.
void record_left_unread(metrics& stats, request_side side);

void record_caller_left(metrics& stats, const abandoned_request& request);

} // namespace pomelohead::forwarding
