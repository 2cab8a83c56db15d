#include "pomelohead/routing/target_view.h"

#include <algorithm>
#include <cmath>

namespace pomelohead::routing {
namespace {

using config::work_class;

// A failed attempt counts as at least this long, so that a target that fails fast
// does not look quick.
constexpr milliseconds min_failure_latency{1000};
// One outstanding attempt may be the tail of a healthy target; two seldom are.
constexpr double overstay_single = 6.0;
constexpr double overstay_pair = 3.0;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void target_view::started(work_class work, time_point now)
{
    if (work == work_class::long_work) {
        ++m_long_outstanding;
        return;
    }
    m_short_outstanding.push_back(now);
}

void target_view::finished(work_class work, attempt_result result, duration latency, time_point now)
{
    if (work == work_class::long_work) {
        m_long_outstanding -= m_long_outstanding > 0 ? 1 : 0;
        return;
    }
    const auto it = std::ranges::lower_bound(m_short_outstanding, now - latency);
    if (it != m_short_outstanding.end()) {
        m_short_outstanding.erase(it);
    }
    else if (!m_short_outstanding.empty()) {
        m_short_outstanding.pop_back();
    }
    if (result == attempt_result::failed) {
        latency = std::max<duration>(latency, min_failure_latency);
    }
    const bool is_longer = m_latency.count() > 0 && latency > m_latency.value();
    if (result == attempt_result::not_run || (result == attempt_result::cancelled && !is_longer)) {
        return;
    }
    m_latency.add(latency);
    m_last_sample = now;
}

void target_view::heard(const owner_word& word, const routing_options& options)
{
    if (m_word && word.m_incarnation < m_word->m_incarnation) {
        return;
    }
    if (m_word && word.m_incarnation > m_word->m_incarnation) {
        m_latency = typical_duration(latency_gain);
        m_share = options.m_slow_start ? options.m_slow_share : 1;
        m_share_time = word.m_heard;
    }
    else if (m_word && word.m_heard < m_word->m_heard) {
        return;
    }
    m_word = word;
    m_short_at_word = outstanding(work_class::short_work);
    m_long_at_word = m_long_outstanding;
}

duration target_view::latency(duration typical, time_point now) const
{
    duration result = m_latency.value();
    if (typical == duration::zero() || m_short_outstanding.empty()) {
        return result;
    }
    const duration oldest = now - m_short_outstanding.front();
    if (oldest > typical * overstay_single) {
        result = std::max(result, oldest);
    }
    if (m_short_outstanding.size() > 1) {
        const duration second = now - m_short_outstanding[1];
        if (second > typical * overstay_pair) {
            result = std::max(result, second);
        }
    }
    return result;
}

double target_view::slow_ratio(duration typical, time_point now,
                               const routing_options& options) const
{
    if (typical == duration::zero()) {
        return 1;
    }
    const double measured = seconds(m_latency.value()) / seconds(typical);
    const double idle = seconds(now - m_last_sample) / seconds(options.m_forget_slow);
    const double remembered = measured > 1 ? std::pow(measured, std::exp2(-idle)) : 1;
    const duration with_outstanding = latency(typical, now);
    const double current =
        with_outstanding > m_latency.value() ? seconds(with_outstanding) / seconds(typical) : 1;
    return std::max(remembered, current);
}

double target_view::share(duration typical, time_point now, const routing_options& options)
{
    double wanted = 1;
    if (options.m_slow_detection) {
        const double ratio = slow_ratio(typical, now, options);
        wanted = ratio < options.m_slow_ratio ? 1 : options.m_slow_share;
    }
    const double elapsed = seconds(now - m_share_time) / seconds(options.m_return_doubling);
    const double allowed = options.m_slow_start ? m_share * std::exp2(std::min(elapsed, 60.0)) : 1;
    m_share = std::clamp(std::min(wanted, allowed), options.m_slow_share, 1.0);
    m_share_time = now;
    return m_share;
}

double target_view::headroom(const call_facts& call, double usual, time_point now,
                             const routing_options& options) const
{
    const double own = outstanding(call.m_class);
    if (!m_word || !options.m_owner_word) {
        return usual - own;
    }
    const bool is_short = call.m_class == work_class::short_work;
    const double own_at_word = is_short ? m_short_at_word : m_long_at_word;
    const double trust = std::exp(-seconds(now - m_word->m_heard) / seconds(options.m_word_age));
    const double said = said_headroom(m_word->m_load, call);
    return trust * (said + own_at_word) + (1 - trust) * usual - own;
}

std::uint32_t target_view::outstanding(work_class work) const
{
    return work == work_class::long_work ? m_long_outstanding
                                         : static_cast<std::uint32_t>(m_short_outstanding.size());
}

} // namespace pomelohead::routing
