#include "pomelohead/forwarding/unanswered_request.h"

#include "pomelohead/telemetry/log.h"

namespace pomelohead::forwarding {
namespace {

// Above the granularity of the system's clock for sockets.
constexpr duration late_read = std::chrono::milliseconds(20);

// A turn of the event loop: an end that is seen this soon after a request was passed on may have
// been there before.
constexpr duration prompt_end = std::chrono::milliseconds(5);

} // namespace

std::string_view to_string(request_phase value)
{
    switch (value) {
    case request_phase::unread:
        return "unread";
    case request_phase::reading:
        return "reading";
    case request_phase::queued:
        return "queued";
    case request_phase::at_target:
        return "at_target";
    case request_phase::answering:
        return "answering";
    }
    return "reading";
}

std::string_view to_string(request_side value)
{
    return value == request_side::caller ? "caller" : "owner";
}

void record_unanswered(metrics& stats, const unanswered_request& request)
{
    const std::string phase(to_string(request.m_phase));
    const std::string side(to_string(request.m_side));
    stats.add("requests_unanswered_total", {{"side", side}, {"phase", phase}});
    log_lost_request(
        log_level::warning, "request_unanswered",
        {{"id", request.m_id}, {"phase", phase}, {"side", side}, {"reason", request.m_reason}});
}

void record_left_unread(metrics& stats, request_side side)
{
    stats.add("callers_left_total", {{"side", std::string(to_string(side))},
                                     {"phase", std::string(to_string(request_phase::unread))}});
}

void record_caller_left(metrics& stats, const abandoned_request& request)
{
    const std::string phase(to_string(request.m_phase));
    const std::string side(to_string(request.m_side));
    const auto ms = [](duration d) { return std::chrono::duration<double, std::milli>(d).count(); };
    stats.add("callers_left_total", {{"side", side}, {"phase", phase}});
    // Callers leave often; what tells of a host that is late to read is rare.
    const bool is_late = request.m_unread >= late_read || request.m_left_behind_unread_bytes ||
                         (request.m_passed_on && *request.m_passed_on < prompt_end);
    log_lost_request(is_late ? log_level::info : log_level::debug, "caller_left",
                     {{"id", request.m_id},
                      {"phase", phase},
                      {"side", side},
                      {"unread_ms", ms(request.m_unread)},
                      {"left_behind_unread_bytes", request.m_left_behind_unread_bytes},
                      {"passed_on_ms", request.m_passed_on ? ms(*request.m_passed_on) : -1.0},
                      {"ms", ms(request.m_held)}});
}

} // namespace pomelohead::forwarding
