// The second attempt of a slow request. It never changes what becomes of the first one: where it
// is not sent or is refused, the request goes on as if it had not been considered.
#include "pomelohead/forwarding/entry_exchange.h"

#include "pomelohead/telemetry/log.h"

namespace pomelohead::forwarding {
namespace {

using outcome::attempt_phase;

// Lower bound of the time between two decisions on one request.
constexpr milliseconds min_postponement{2};

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

void entry_exchange::count_hedge(std::string_view result) const
{
    m_service.m_stats.add("hedges_total",
                          {{"result", std::string(result)}, {"service", m_target_service->m_name}});
}

void entry_exchange::plan_hedge()
{
    // Two attempts cannot both read a body that is streamed from the caller.
    if (m_request.m_streamed) {
        return;
    }
    if (const auto delay = m_service.m_hedges.delay_for(m_route->m_name, m_call)) {
        m_hedge_at = m_service.m_timers.now() + *delay;
    }
}

void entry_exchange::send_hedge()
{
    if (!outcome::can_hedge(m_state)) {
        return;
    }
    const time_point now = m_service.m_timers.now();
    const std::string& service = m_target_service->m_name;
    // The first attempt may take many times the delay: what prevents a hedge now may not prevent it
    // then. Waiting each time as long as before bounds the number of decisions.
    const auto postpone = [&](std::string_view result, std::string why) {
        m_hedge_not_sent = result;
        m_hedge_detail = std::move(why);
        m_hedge_at =
            now + std::max<duration>(now - m_attempts.front()->started(), min_postponement);
    };
    if (!m_service.m_hedges.may_hedge(service, now)) {
        return postpone("over_limit", "hedge_share of the service's requests is used up");
    }
    if (!can_start_fibers(1)) {
        return postpone("no_target", "no memory for the fiber of an attempt");
    }
    reason why;
    auto target =
        m_service.m_selector.choose_for_hedge(*m_config, *m_target_service, m_call, tried_targets(),
                                              m_service.m_reachable, now, m_service.m_random, why);
    if (!target) {
        return postpone("no_target", why.m_text);
    }
    if (!m_service.m_retries.may_hedge(m_call, now, service)) {
        return postpone("over_limit", "the rest of the retry budget is kept for retries");
    }
    m_service.m_hedges.record_hedge(service, now);
    count_hedge("sent");
    start_attempt(std::move(*target), admission::queueing::spare_only);
}

// Each hedge that was sent ends as won, refused or lost: its answer went to the caller, its owner
// declined it, or it was of no use. A request whose hedge was due and never sent is counted once,
// with what prevented it last.
void entry_exchange::record_hedge_end() const
{
    if (!m_state.m_hedge) {
        if (!m_hedge_not_sent.empty()) {
            count_hedge(m_hedge_not_sent);
            log_request(log_level::debug, "hedge_not_sent",
                        {{"id", m_request_id},
                         {"service", m_target_service->m_name},
                         {"result", m_hedge_not_sent},
                         {"reason", m_hedge_detail}});
        }
        return;
    }
    if (*m_state.m_hedge >= m_attempts.size()) {
        return; // there was no memory for it
    }
    const entry_attempt& hedge = *m_attempts[*m_state.m_hedge];
    switch (m_state.m_attempts[*m_state.m_hedge]) {
    case attempt_phase::answering: {
        count_hedge("won");
        const entry_attempt& first = *m_attempts.front();
        const time_point answered_at = hedge.started() + hedge.latency();
        log_request(log_level::debug, "hedge_won",
                    {{"id", m_request_id},
                     {"service", m_target_service->m_name},
                     {"target", hedge.target().m_name},
                     {"first_target", first.target().m_name},
                     {"hedge_ms", to_ms(hedge.latency())},
                     {"first_ms", to_ms(answered_at - first.started())}});
        return;
    }
    case attempt_phase::not_run:
        return count_hedge("refused");
    default:
        return count_hedge("lost");
    }
}

} // namespace pomelohead::forwarding
