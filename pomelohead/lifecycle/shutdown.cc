#include "pomelohead/lifecycle/shutdown.h"

#include <algorithm>

namespace pomelohead::lifecycle {

std::string_view to_string(shutdown_phase value)
{
    switch (value) {
    case shutdown_phase::serving:
        return "serving";
    case shutdown_phase::announcing:
        return "announcing";
    case shutdown_phase::finishing:
        return "finishing";
    case shutdown_phase::stopped:
        return "stopped";
    }
    return "serving";
}

shutdown_state step(const shutdown_state& state, shutdown_event event)
{
    shutdown_state next = state;
    switch (event) {
    case shutdown_event::begin:
        if (state.m_phase == shutdown_phase::serving) {
            next.m_phase = shutdown_phase::announcing;
        }
        break;
    case shutdown_event::lame_duck_over:
        if (state.m_phase == shutdown_phase::announcing) {
            next.m_phase = shutdown_phase::finishing;
        }
        break;
    case shutdown_event::bound_over:
        if (state.m_phase != shutdown_phase::serving) {
            next.m_phase = shutdown_phase::stopped;
            next.m_cut = true;
        }
        break;
    case shutdown_event::request_began:
        ++next.m_in_flight;
        break;
    case shutdown_event::request_ended:
        next.m_in_flight -= state.m_in_flight > 0 ? 1 : 0;
        break;
    }
    if (next.m_phase == shutdown_phase::finishing && next.m_in_flight == 0) {
        next.m_phase = shutdown_phase::stopped;
    }
    return next;
}

bool accepts_callers(shutdown_phase phase)
{
    return phase == shutdown_phase::serving || phase == shutdown_phase::announcing;
}

bool accepts_work(shutdown_phase phase)
{
    return phase == shutdown_phase::serving;
}

bool closes_connections(shutdown_phase phase)
{
    return phase != shutdown_phase::serving;
}

graceful_shutdown::graceful_shutdown(timer_service& timers, shutdown_options options,
                                     std::function<void(shutdown_phase)> on_phase,
                                     std::function<void()> on_cut)
    : m_timers(timers), m_options(options), m_on_phase(std::move(on_phase)),
      m_on_cut(std::move(on_cut))
{
}

void graceful_shutdown::begin()
{
    if (phase() != shutdown_phase::serving) {
        return;
    }
    duration lame_duck = m_options.m_lame_duck;
    if (m_options.m_bound) {
        lame_duck = std::min(lame_duck, *m_options.m_bound / 2);
    }
    m_lame_duck = m_timers.after(lame_duck, [this] { handle(shutdown_event::lame_duck_over); });
    if (m_options.m_bound) {
        m_cut_at = m_timers.now() + *m_options.m_bound;
        m_bound =
            m_timers.after(*m_options.m_bound, [this] { handle(shutdown_event::bound_over); });
    }
    handle(shutdown_event::begin);
}

time_point graceful_shutdown::finish_by() const
{
    return m_cut_at ? *m_cut_at - final_answer_time : time_point::max();
}

void graceful_shutdown::handle(shutdown_event event)
{
    const shutdown_state before = m_state;
    m_state = step(m_state, event);
    if (phase() != before.m_phase && m_on_phase) {
        if (before.m_phase == shutdown_phase::announcing && phase() == shutdown_phase::stopped) {
            m_on_phase(shutdown_phase::finishing); // an idle node skips this phase's wait
        }
        m_on_phase(phase());
    }
    if (m_state.m_cut && !before.m_cut && m_on_cut) {
        m_on_cut();
    }
}

} // namespace pomelohead::lifecycle
