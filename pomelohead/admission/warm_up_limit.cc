// The latest room() starts are enough to count: if all of them are within the window, there is no
// room, and otherwise earlier ones are outside. Starts are also recorded while there is no limit,
// because a target may state at any time that it has turned cold.
#include "pomelohead/admission/warm_up_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pomelohead::admission {
namespace {

using seconds = std::chrono::duration<double>;

// No warm-up lasts longer, so that a lower rate is the same; it would exceed the clock's range.
constexpr double max_period_s = 3600;

constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

} // namespace

void warm_up_limit::configure(double rate, duration warm_up_time)
{
    m_warm_up_time = warm_up_time;
    if (rate == m_rate) {
        return;
    }
    m_rate = rate;
    m_counted_since = std::max(m_counted_since, m_last_start);
    m_starts.clear();
}

void warm_up_limit::record_possible_restart(time_point now)
{
    if (now >= m_asked_at) { // otherwise a later statement is known
        m_possible_restart = std::max(m_possible_restart, now);
        m_is_stated = false;
    }
}

void warm_up_limit::record_statement(duration left, time_point asked_at, time_point answered_at)
{
    if (asked_at < m_possible_restart || asked_at < m_asked_at) {
        return;
    }
    m_asked_at = asked_at;
    m_stated_until = left > duration::zero() ? std::max(asked_at, answered_at) + left : asked_at;
    m_is_stated = true;
}

void warm_up_limit::record_start(time_point now)
{
    m_last_start = std::max(m_last_start, now);
    if (!is_configured()) {
        return;
    }
    m_starts.push_back(now);
    while (m_starts.size() > room() || m_starts.front() + window() <= now) {
        m_starts.pop_front();
    }
}

std::uint32_t warm_up_limit::room() const
{
    return std::max(1U, static_cast<std::uint32_t>(std::floor(m_rate)));
}

duration warm_up_limit::window() const
{
    const double period_s = is_configured() ? std::clamp(1 / m_rate, 1.0, max_period_s) : 1.0;
    return std::chrono::ceil<duration>(seconds(period_s)) + delivery_variation;
}

time_point warm_up_limit::end() const
{
    if (m_is_stated) {
        return m_stated_until;
    }
    return m_possible_restart == time_point{} ? time_point{} : m_possible_restart + m_warm_up_time;
}

bool warm_up_limit::is_limiting(time_point now) const
{
    return is_configured() && now < end();
}

std::optional<time_point> warm_up_limit::limits_until(time_point now) const
{
    return is_limiting(now) ? std::optional(end()) : std::nullopt;
}

std::uint32_t warm_up_limit::available(time_point now) const
{
    if (!is_limiting(now)) {
        return unlimited;
    }
    if (m_counted_since != time_point{} && now < m_counted_since + window()) {
        return 0;
    }
    const auto first_counted = std::ranges::upper_bound(m_starts, now - window());
    return room() - static_cast<std::uint32_t>(m_starts.end() - first_counted);
}

duration warm_up_limit::time_until(std::uint32_t count, time_point now) const
{
    if (available(now) >= count) {
        return duration::zero();
    }
    if (count > room()) {
        return end() - now;
    }
    time_point free_at = m_counted_since == time_point{} ? now : m_counted_since + window();
    const std::uint32_t used_then = room() - count; // starts that may still be in the window
    if (m_starts.size() > used_then) {
        const auto last_to_leave = m_starts.end() - 1 - static_cast<std::ptrdiff_t>(used_then);
        free_at = std::max(free_at, *last_to_leave + window());
    }
    return std::min(free_at, end()) - now;
}

} // namespace pomelohead::admission
