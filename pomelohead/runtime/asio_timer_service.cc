#include "pomelohead/runtime/asio_timer_service.h"

#include "pomelohead/runtime/guarded_call.h"

#include <boost/asio/steady_timer.hpp>

namespace pomelohead {
namespace {

// Shared by the subscription and the pending wait, so that either may end first.
struct timer_state {
    timer_state(boost::asio::io_context& io, duration period, std::function<void()> callback)
        : m_timer(io), m_period(period), m_callback(std::move(callback))
    {
    }

    boost::asio::steady_timer m_timer;
    duration m_period; ///< zero for a single call
    std::function<void()> m_callback;
    bool m_cancelled = false;
};

void arm(const std::shared_ptr<timer_state>& state)
{
    state->m_timer.async_wait([state](boost::system::error_code error) {
        if (error || state->m_cancelled) {
            return;
        }
        guarded_call("timer_failed", state->m_callback);
        if (state->m_period > duration::zero() && !state->m_cancelled) {
            // Counting from now, not from the last expiry, makes a late wake-up
            // after a freeze one call and not a burst of missed ones.
            state->m_timer.expires_after(state->m_period);
            arm(state);
        }
    });
}

timer_subscription start(const std::shared_ptr<timer_state>& state, duration delay)
{
    state->m_timer.expires_after(delay);
    arm(state);
    return timer_subscription([state] {
        state->m_cancelled = true;
        state->m_timer.cancel();
    });
}

} // namespace

timer_subscription asio_timer_service::after(duration delay, std::function<void()> callback)
{
    return start(std::make_shared<timer_state>(m_io, duration::zero(), std::move(callback)), delay);
}

timer_subscription asio_timer_service::every(duration period, std::function<void()> callback)
{
    return start(std::make_shared<timer_state>(m_io, period, std::move(callback)), period);
}

} // namespace pomelohead
