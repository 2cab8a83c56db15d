// The schedule is examined only in callbacks of a timer: what is recorded here may come from the
// middle of a request, and the view may reach far into the node.
#include "pomelohead/forwarding/warm_up_probe.h"

#include "pomelohead/runtime/guarded_call.h"
#include "pomelohead/telemetry/log.h"

namespace pomelohead::forwarding {
namespace {

// For the head of a response and again for its body. A target whose slots are all in use responds
// once one is free, which takes some tens of milliseconds.
constexpr duration query_timeout = std::chrono::milliseconds(300);
constexpr std::size_t max_page_bytes = 64UL * 1024UL;
constexpr std::size_t max_kept_connections = 1;

bool is_lost(const reason& why)
{
    return why.m_code == reason_code::interrupted || why.m_code == reason_code::cancelled;
}

} // namespace

warm_up_probe::warm_up_probe(boost::asio::io_context& io, timer_service& timers,
                             fiber_group& fibers, warm_up_probe_options options)
    : m_timers(timers), m_fibers(fibers), m_options(std::move(options)),
      m_pool(io, m_options.m_where, max_kept_connections)
{
}

void warm_up_probe::record_suspicion(bool is_certain)
{
    if (is_certain) {
        m_pool.clear();
    }
    m_schedule.record_suspicion();
    update();
}

void warm_up_probe::record_start()
{
    m_schedule.record_start();
    // A start never makes a query due earlier than the one that the timer is set for.
    if (!m_is_armed) {
        update();
    }
}

void warm_up_probe::update()
{
    arm(duration::zero());
}

void warm_up_probe::stop()
{
    m_is_stopped = true;
    m_timer.cancel();
    m_pool.clear();
    for (client_connection* call : m_calls) {
        call->m_stream.close();
    }
}

void warm_up_probe::arm(duration delay)
{
    if (m_is_stopped || m_is_querying) {
        return; // examined again when the query has ended
    }
    m_is_armed = true;
    m_timer = m_timers.after(delay, [this] { examine(); });
}

void warm_up_probe::examine()
{
    m_is_armed = false;
    const time_point now = m_timers.now();
    const std::optional<time_point> due = m_schedule.next(m_options.m_view(now), now);
    if (due && *due > now) {
        arm(*due - now);
    }
    else if (due) {
        query();
    }
}

void warm_up_probe::query()
{
    const time_point now = m_timers.now();
    m_schedule.record_query(now);
    if (!can_start_fibers(1)) {
        fail(query_failure::unanswered, "no-memory",
             {reason_code::refused, "there is no memory for a health query"});
        update();
        return;
    }
    m_fibers.spawn([self = shared_from_this(), now] {
        if (!guarded_call("health_query_failed", [&] { self->send_query(now); })) {
            self->m_schedule.record_failure(query_failure::unanswered, self->m_timers.now());
        }
        self->m_is_querying = false;
        self->update();
    });
    m_is_querying = true; // the fiber starts later, and not at all if spawn() throws
}

void warm_up_probe::send_query(time_point asked_at)
{
    const get_limits limits{.m_deadline = clock_type::now() + query_timeout,
                            .m_piece_timeout = query_timeout,
                            .m_body_timeout = query_timeout,
                            .m_max_bytes = max_page_bytes,
                            .m_on_connected = [this] {
                                if (!m_is_stopped) {
                                    m_options.m_on_query(m_timers.now());
                                }
                            }};
    reason why;
    const auto response =
        http_get(m_pool, m_options.m_where.m_address, m_path, limits, m_calls, why);
    if (m_is_stopped) {
        m_pool.clear();
        return;
    }
    if (response) {
        evaluate(*response, asked_at);
        return;
    }
    const bool is_refused = why.m_code == reason_code::unreachable;
    fail(is_refused     ? query_failure::unreachable
         : is_lost(why) ? query_failure::lost
                        : query_failure::unanswered,
         is_refused ? "unreachable" : "unanswered", why);
    if (is_refused) {
        m_options.m_on_possible_restart(m_timers.now());
    }
}

void warm_up_probe::evaluate(const full_response& response, time_point asked_at)
{
    reason why;
    const std::optional<target_health> health =
        m_options.m_read_health(response.m_status, response.m_fields, why);
    const time_point now = m_timers.now();
    if (!health) {
        fail(query_failure::unanswered,
             why.m_code == reason_code::invalid ? "invalid" : "unanswered", why);
        return;
    }
    if (health->m_instance && *health->m_instance != m_options.m_target) {
        fail(query_failure::unanswered, "other-target",
             {reason_code::conflict, "another target responds at the address"});
        m_options.m_on_possible_restart(now);
        return;
    }
    if (!health->m_warm_up_left) {
        fail(query_failure::unanswered, "unanswered",
             {reason_code::refused, "the target is not healthy and states no warm-up"});
        return;
    }
    m_logged_failure.clear();
    const duration left = *health->m_warm_up_left;
    m_schedule.record_answer(left, now);
    m_options.m_on_result(left > duration::zero() ? "warming-up" : "warm");
    m_options.m_on_answer(left, asked_at, now);
}

void warm_up_probe::fail(query_failure kind, std::string_view result, const reason& why)
{
    m_schedule.record_failure(kind, m_timers.now());
    m_options.m_on_result(result);
    if (kind != query_failure::unreachable) {
        m_options.m_on_failure(m_timers.now());
    }
    if (std::exchange(m_logged_failure, why.m_text) != why.m_text) {
        log_event(
            log_level::warning, "health_query_unanswered",
            {{"target", m_options.m_target}, {"code", to_string(why.m_code)}, {"why", why.m_text}});
    }
}

} // namespace pomelohead::forwarding
