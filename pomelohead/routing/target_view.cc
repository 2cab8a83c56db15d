#include "pomelohead/routing/target_view.h"

#include <algorithm>
#include <cmath>

namespace pomelohead::routing {
namespace {

using config::work_class;

// A failed attempt counts with at least this latency, so that a target that fails quickly does
// not appear fast.
constexpr milliseconds min_failure_latency{1000};
// Multiples of the peer median after which outstanding attempts count as overdue. One slow
// attempt may be tail latency of a healthy target; two at once rarely are.
constexpr double overdue_factor_single = 6.0;
constexpr double overdue_factor_pair = 3.0;

// Age at which the weight of a target's own mean load has decayed to 1/e. It covers several reports
// of a target that an entry uses once in a second, and is short against a change of the demand.
constexpr duration history_decay = std::chrono::seconds(2);

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void target_view::record_start(work_class work, time_point now)
{
    if (work == work_class::long_work) {
        ++m_long_outstanding;
        return;
    }
    m_short_outstanding.push_back(now);
}

void target_view::record_finish(work_class work, attempt_result result, duration latency,
                                time_point now)
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
    if (result == attempt_result::not_run || result == attempt_result::superseded ||
        (result == attempt_result::cancelled && !is_longer)) {
        return;
    }
    m_latency.add(latency);
    m_last_sample = now;
}

void target_view::record_load_report(const owner_load_report& report,
                                     const routing_options& options, const std::string& route)
{
    if (m_report && report.m_incarnation < m_report->m_incarnation) {
        return;
    }
    if (m_report && report.m_incarnation > m_report->m_incarnation) {
        m_latency = typical_duration(latency_gain);
        m_share = options.m_slow_start ? options.m_slow_share : 1;
        m_share_time = report.m_received_at;
        m_run_times.clear();
    }
    else if (m_report && report.m_received_at < m_report->m_received_at) {
        return;
    }
    // Bounds memory; further routes count as unknown.
    constexpr std::size_t max_routes = 64;
    if (report.m_run_time > duration::zero() &&
        (m_run_times.size() < max_routes || m_run_times.contains(route))) {
        m_run_times[route] = report.m_run_time;
    }
    const double gain = m_report ? headroom_gain : 1;
    const auto headroom_for = [&](config::urgency urgency) {
        return reported_headroom(report.m_load, {.m_urgency = urgency});
    };
    m_mean_headroom += gain * (headroom_for(config::urgency::normal) - m_mean_headroom);
    m_mean_urgent_headroom +=
        gain * (headroom_for(config::urgency::urgent) - m_mean_urgent_headroom);
    m_report = report;
    m_short_outstanding_at_report = outstanding(work_class::short_work);
    m_long_outstanding_at_report = m_long_outstanding;
}

duration target_view::processing_delay(time_point now) const
{
    if (!m_report) {
        return duration::zero();
    }
    // An owner is late to the request and again to the response.
    constexpr double passes = 2;
    constexpr duration negligible = std::chrono::milliseconds(1);
    const double weight =
        std::exp(-seconds(now - m_report->m_received_at) / seconds(history_decay));
    const auto delay = std::chrono::duration_cast<duration>(m_report->m_delay * (passes * weight));
    return delay >= negligible ? delay : duration::zero();
}

duration target_view::run_time(const std::string& route) const
{
    const auto it = m_run_times.find(route);
    return it != m_run_times.end() ? it->second : duration::zero();
}

duration target_view::mean_run_time() const
{
    duration sum{};
    for (const auto& [route, run_time] : m_run_times) {
        sum += run_time;
    }
    return m_run_times.empty() ? sum : sum / static_cast<std::int64_t>(m_run_times.size());
}

duration target_view::latency_with_outstanding(duration peer_median, time_point now) const
{
    duration result = m_latency.value();
    if (peer_median == duration::zero() || m_short_outstanding.empty()) {
        return result;
    }
    const duration oldest = now - m_short_outstanding.front();
    if (oldest > peer_median * overdue_factor_single) {
        result = std::max(result, oldest);
    }
    if (m_short_outstanding.size() > 1) {
        const duration second_oldest = now - m_short_outstanding[1];
        if (second_oldest > peer_median * overdue_factor_pair) {
            result = std::max(result, second_oldest);
        }
    }
    return result;
}

double target_view::slow_ratio(duration peer_median, time_point now,
                               const routing_options& options) const
{
    if (peer_median == duration::zero()) {
        return 1;
    }
    const double measured_ratio = seconds(m_latency.value()) / seconds(peer_median);
    const double idle_half_lives =
        seconds(now - m_last_sample) / seconds(options.m_slow_ratio_half_life);
    const double decayed_ratio =
        measured_ratio > 1 ? std::pow(measured_ratio, std::exp2(-idle_half_lives)) : 1;
    const duration latency_now = latency_with_outstanding(peer_median, now);
    const double outstanding_ratio =
        latency_now > m_latency.value() ? seconds(latency_now) / seconds(peer_median) : 1;
    return std::max(decayed_ratio, outstanding_ratio);
}

double target_view::share(duration peer_median, time_point now, const routing_options& options)
{
    double desired_share = 1;
    if (options.m_slow_detection) {
        const double ratio = slow_ratio(peer_median, now, options);
        desired_share = ratio < options.m_slow_ratio ? 1 : options.m_slow_share;
    }
    const double elapsed =
        seconds(now - m_share_time) / seconds(options.m_slow_start_doubling_time);
    const double slow_start_limit =
        options.m_slow_start ? m_share * std::exp2(std::min(elapsed, 60.0)) : 1;
    m_share = std::clamp(std::min(desired_share, slow_start_limit), options.m_slow_share, 1.0);
    m_share_time = now;
    return m_share;
}

double target_view::headroom(const call_attributes& call, double mean_headroom, time_point now,
                             const routing_options& options) const
{
    const double own_outstanding = outstanding(call.m_class);
    if (!m_report || !options.m_use_load_reports) {
        return mean_headroom - own_outstanding;
    }
    const bool is_short = call.m_class == work_class::short_work;
    const double own_outstanding_at_report =
        is_short ? m_short_outstanding_at_report : m_long_outstanding_at_report;
    const double report_weight =
        std::exp(-seconds(now - m_report->m_received_at) / seconds(options.m_load_report_decay));
    const double reported = reported_headroom(m_report->m_load, call);
    if (options.m_use_target_history && is_short) {
        const double own_weight =
            std::exp(-seconds(now - m_report->m_received_at) / seconds(history_decay));
        const double own_mean =
            call.m_urgency == config::urgency::urgent ? m_mean_urgent_headroom : m_mean_headroom;
        mean_headroom = own_weight * own_mean + (1 - own_weight) * mean_headroom;
    }
    return report_weight * (reported + own_outstanding_at_report) +
           (1 - report_weight) * mean_headroom - own_outstanding;
}

std::uint32_t target_view::outstanding(work_class work) const
{
    return work == work_class::long_work ? m_long_outstanding
                                         : static_cast<std::uint32_t>(m_short_outstanding.size());
}

} // namespace pomelohead::routing
