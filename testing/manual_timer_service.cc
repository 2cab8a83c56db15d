#include "testing/manual_timer_service.h"

namespace pomelohead::testing {

timer_subscription manual_timer_service::add(duration delay, duration period,
                                             std::function<void()> callback)
{
    const std::uint64_t id = m_next_id++;
    m_entries[id] = {m_now + delay, period, std::move(callback)};
    return timer_subscription([this, id] { m_entries.erase(id); });
}

timer_subscription manual_timer_service::after(duration delay, std::function<void()> callback)
{
    return add(delay, duration::zero(), std::move(callback));
}

timer_subscription manual_timer_service::every(duration period, std::function<void()> callback)
{
    return add(period, period, std::move(callback));
}

void manual_timer_service::run_due(time_point until, bool frozen)
{
    while (true) {
        auto next = m_entries.end();
        for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
            if (it->second.m_due <= until &&
                (next == m_entries.end() || it->second.m_due < next->second.m_due)) {
                next = it;
            }
        }
        if (next == m_entries.end()) {
            return;
        }
        if (!frozen) {
            m_now = std::max(m_now, next->second.m_due);
        }
        const std::function<void()> callback = next->second.m_callback;
        if (next->second.m_period > duration::zero()) {
            next->second.m_due = m_now + next->second.m_period;
        }
        else {
            m_entries.erase(next);
        }
        callback();
    }
}

void manual_timer_service::advance(duration step)
{
    const time_point until = m_now + step;
    run_due(until, false);
    m_now = until;
}

void manual_timer_service::freeze(duration step)
{
    m_now += step;
    run_due(m_now, true);
}

} // namespace pomelohead::testing
