// Chooses between random candidates instead of taking the best of all targets: M. Mitzenmacher,
// "The power of two choices in randomized load balancing", 2001. Load reports can be older than
// a request's run time; with the best of all, every entry would then pick the same target.
//
// The expected wait is derived from the mean number of requests in excess of the slots. The
// true headroom is modelled as logistically distributed around its estimate, so that a target
// with one free slot in an old report is more likely to be full than one with five.
#include "pomelohead/routing/owner_selector.h"

#include <algorithm>
#include <cmath>

namespace pomelohead::routing {
namespace {

using config::work_class;

constexpr double headroom_spread = 1.0; // slots
constexpr milliseconds default_latency{10};

// Part of a target's run time that counts in its cost. With all of it, requests queue at fast
// targets while slow ones are free; with none, they run on slow ones while fast ones are free.
constexpr double run_time_weight = 0.25;

double expected_excess(double headroom)
{
    return headroom_spread * std::log1p(std::exp((1 - headroom) / headroom_spread));
}

} // namespace

owner_selector::owner_selector(routing_options options, std::string own_failure_domain,
                               std::string own_region)
    : m_options(options), m_own_domain(std::move(own_failure_domain)),
      m_own_region(std::move(own_region))
{
}

void owner_selector::set_regions(std::map<std::string, std::string> region_by_domain)
{
    m_region_by_domain = std::move(region_by_domain);
}

std::string owner_selector::exclusion_reason(const config::snapshot& config,
                                             const config::target& target,
                                             const std::vector<std::string>& excluded,
                                             const reachable_fn& reachable, time_point now) const
{
    if (std::ranges::find(excluded, target.m_name) != excluded.end()) {
        return "already tried";
    }
    if (config.is_evacuated(target.m_failure_domain)) {
        return "evacuated: failure domain " + target.m_failure_domain;
    }
    if (config.is_draining(target.m_name)) {
        return "drained by the configuration";
    }
    const auto view = m_views.find(target.m_name);
    const auto leaving = m_leaving.find(target.m_name);
    if (leaving != m_leaving.end() && leaving->second.holds(target.m_started_ms, now)) {
        return "has said that it leaves";
    }
    if (view != m_views.end() && view->second.is_draining(now, m_options)) {
        return "draining according to its owner";
    }
    if (reachable && !reachable(target)) {
        return "unreachable";
    }
    return {};
}

duration owner_selector::peer_median_latency(const config::service& service) const
{
    std::vector<duration> latencies;
    for (const config::target& target : service.m_targets) {
        const auto view = m_views.find(target.m_name);
        if (view != m_views.end() && view->second.finished_latency() > duration::zero()) {
            latencies.push_back(view->second.finished_latency());
        }
    }
    if (latencies.empty()) {
        return duration::zero();
    }
    // The lower median: with two known latencies, the lower one.
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::ranges::nth_element(latencies, middle);
    return *middle;
}

double owner_selector::mean_reported_headroom(const config::service& service,
                                              const call_attributes& call, time_point now) const
{
    double sum = 0;
    double count = 0;
    double slots = 0;
    for (const config::target& target : service.m_targets) {
        slots += target.m_slots;
        const auto view = m_views.find(target.m_name);
        if (view == m_views.end() || !view->second.load_report()) {
            continue;
        }
        const double report_weight =
            std::exp(-std::chrono::duration<double>(now - view->second.load_report()->m_received_at)
                          .count() /
                     std::chrono::duration<double>(m_options.m_load_report_decay).count());
        sum += report_weight * reported_headroom(view->second.load_report()->m_load, call);
        count += report_weight;
    }
    // Before any load report, half of the slots count as free.
    const double default_headroom = slots / static_cast<double>(service.m_targets.size()) / 2;
    constexpr double default_weight = 0.1;
    return (sum + default_weight * default_headroom) / (count + default_weight);
}

duration owner_selector::network_cost(const config::target& target,
                                      const call_attributes& call) const
{
    if (target.m_failure_domain == m_own_domain) {
        return duration::zero();
    }
    constexpr double bytes_per_kib = 1024;
    const auto transfer_cost = std::chrono::duration_cast<duration>(
        m_options.m_cross_domain_cost_per_kib *
        (static_cast<double>(call.m_transfer_bytes) / bytes_per_kib));
    const auto region = m_region_by_domain.find(target.m_failure_domain);
    const bool is_remote = region != m_region_by_domain.end() && region->second != m_own_region;
    return transfer_cost +
           (is_remote ? m_options.m_cross_region_cost : m_options.m_cross_domain_cost);
}

duration owner_selector::median_run_time(const config::service& service,
                                         const std::string& route) const
{
    std::vector<duration> known;
    for (const config::target& target : service.m_targets) {
        const auto view = m_views.find(target.m_name);
        const duration run_time =
            view != m_views.end() ? view->second.run_time(route) : duration::zero();
        if (run_time > duration::zero()) {
            known.push_back(run_time);
        }
    }
    if (known.empty()) {
        return duration::zero();
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::ranges::nth_element(known, middle);
    return *middle;
}

// The expected time until the response: the wait for a slot, the run time where targets' run times
// are known, and the network cost.
duration owner_selector::expected_cost(const candidate& item, const call_attributes& call,
                                       const service_estimate& estimate, time_point now) const
{
    const double headroom = item.m_view->headroom(call, estimate.m_mean_headroom, now, m_options);
    duration occupancy =
        estimate.m_median_latency > duration::zero() ? estimate.m_median_latency : default_latency;
    duration run_time{};
    duration delay{};
    if (m_options.m_use_target_history) {
        const duration known = item.m_view->run_time(call.m_route);
        run_time = known > duration::zero() ? known : estimate.m_median_run_time;
        const duration mean = item.m_view->mean_run_time();
        occupancy = mean > duration::zero() ? mean : occupancy;
        delay = item.m_view->processing_delay(now);
    }
    const double excess = expected_excess(headroom) / std::max(1U, item.m_target->m_slots);
    const auto wait = std::chrono::duration_cast<duration>(occupancy * excess);
    return wait + delay + std::chrono::duration_cast<duration>(run_time * run_time_weight) +
           (m_options.m_local_preference ? network_cost(*item.m_target, call) : duration::zero());
}

owner_selector::service_estimate owner_selector::estimate_service(const config::service& service,
                                                                  const call_attributes& call,
                                                                  time_point now) const
{
    return {.m_median_latency = peer_median_latency(service),
            .m_median_run_time = m_options.m_use_target_history
                                     ? median_run_time(service, call.m_route)
                                     : duration::zero(),
            .m_mean_headroom = mean_reported_headroom(service, call, now)};
}

// Removes the targets that take no more requests at present; keeps all if none would remain.
void owner_selector::prefer_below_rate(std::vector<candidate>& candidates, time_point now)
{
    const auto is_limited = [now](const candidate& item) {
        return item.m_view->is_rate_limited(now);
    };
    if (!std::ranges::all_of(candidates, is_limited)) {
        std::erase_if(candidates, is_limited);
    }
}

// Keeps each candidate with a probability equal to its share; keeps all if none would remain.
void owner_selector::sample_by_share(std::vector<candidate>& candidates, std::mt19937_64& random)
{
    std::vector<candidate> kept;
    std::uniform_real_distribution<double> uniform(0, 1);
    for (const candidate& item : candidates) {
        if (item.m_share >= 1 || uniform(random) < item.m_share) {
            kept.push_back(item);
        }
    }
    if (!kept.empty()) {
        candidates = std::move(kept);
    }
}

void owner_selector::draw_candidates(std::vector<candidate>& from, std::mt19937_64& random,
                                     std::vector<candidate>& drawn) const
{
    for (std::uint32_t i = 0; i < m_options.m_candidates && !from.empty(); ++i) {
        const std::size_t index = random() % from.size();
        drawn.push_back(from[index]);
        from[index] = from.back();
        from.pop_back();
    }
}

const owner_selector::candidate&
owner_selector::choose_round_robin(const config::service& service,
                                   const std::vector<candidate>& eligible)
{
    return eligible[m_round_robin_index[service.m_name]++ % eligible.size()];
}

std::optional<config::target> owner_selector::choose(
    const config::snapshot& config, const config::service& service, const call_attributes& call,
    const std::vector<std::string>& excluded_targets, const reachable_fn& reachable, time_point now,
    std::mt19937_64& random, reason& why, const std::vector<std::string>& busy_targets)
{
    const duration peer_median = peer_median_latency(service);
    std::vector<candidate> eligible;
    std::vector<candidate> busy;
    std::string exclusions;
    for (const config::target& target : service.m_targets) {
        std::string exclusion = exclusion_reason(config, target, excluded_targets, reachable, now);
        if (!exclusion.empty()) {
            exclusions += (exclusions.empty() ? "" : ", ") + target.m_name + ": " + exclusion;
            continue;
        }
        target_view& view = m_views[target.m_name];
        const bool is_local =
            !m_options.m_local_preference || target.m_failure_domain == m_own_domain;
        const bool is_busy = std::ranges::find(busy_targets, target.m_name) != busy_targets.end();
        const candidate item{&target, &view, view.share(peer_median, now, m_options), is_local,
                             is_busy};
        (is_busy ? busy : eligible).push_back(item);
    }
    if (eligible.empty() && busy.empty()) {
        why = {reason_code::unreachable,
               "no target of service " + service.m_name + " is eligible: " + exclusions};
        return std::nullopt;
    }
    prefer_below_rate(eligible, now);
    sample_by_share(eligible, random);
    if (!m_options.m_power_of_two && !eligible.empty()) {
        return *choose_round_robin(service, eligible).m_target;
    }
    std::vector<candidate> local;
    std::vector<candidate> elsewhere;
    for (const candidate& item : eligible) {
        (item.m_is_local ? local : elsewhere).push_back(item);
    }
    std::vector<candidate> drawn;
    // The reports of targets that were just asked are exact. To wait, a request is better off at
    // the best of several of them than at one of which only an old report is known.
    if (busy.empty() || busy.size() < m_options.m_immediate_attempts) {
        draw_candidates(local, random, drawn);
    }
    draw_candidates(elsewhere, random, drawn);
    drawn.insert(drawn.end(), busy.begin(), busy.end());
    const service_estimate estimate = estimate_service(service, call, now);
    const auto cost = [&](const candidate& item) {
        return expected_cost(item, call, estimate, now);
    };
    return *std::ranges::min_element(drawn, {}, cost)->m_target;
}

void owner_selector::record_start(const std::string& target, work_class work, time_point now)
{
    m_views[target].record_start(work, now);
}

void owner_selector::record_finish(const std::string& target, work_class work,
                                   attempt_result result, duration latency, time_point now)
{
    m_views[target].record_finish(work, result, latency, now);
}

void owner_selector::record_load_report(const std::string& target, const owner_load_report& report,
                                        const std::string& route)
{
    m_views[target].record_load_report(report, m_options, route);
}

void owner_selector::record_leaving(const config::target& target, time_point now)
{
    std::erase_if(m_leaving, [now](const auto& item) { return item.second.is_outdated(now); });
    m_leaving[target.m_name].record(target.m_started_ms, now);
}

void owner_selector::record_rate_limited(const std::string& target, time_point until)
{
    m_views[target].record_rate_limited(until);
}

void owner_selector::retain(const config::snapshot& config)
{
    std::erase_if(m_views,
                  [&](const auto& item) { return config.find_target(item.first) == nullptr; });
}

std::vector<target_explanation>
owner_selector::explain(const config::snapshot& config, const config::service& service,
                        const call_attributes& call, const reachable_fn& reachable, time_point now)
{
    const service_estimate estimate = estimate_service(service, call, now);
    const duration peer_median = estimate.m_median_latency;
    std::vector<target_explanation> explanations;
    for (const config::target& target : service.m_targets) {
        target_view view = m_views[target.m_name];
        target_explanation explanation;
        explanation.m_target = target.m_name;
        explanation.m_host = target.m_host;
        explanation.m_failure_domain = target.m_failure_domain;
        explanation.m_why = exclusion_reason(config, target, {}, reachable, now);
        explanation.m_eligible = explanation.m_why.empty();
        explanation.m_draining =
            view.is_draining(now, m_options) || config.is_draining(target.m_name);
        explanation.m_share = view.share(peer_median, now, m_options);
        explanation.m_slow = view.slow_ratio(peer_median, now, m_options) >= m_options.m_slow_ratio;
        explanation.m_free = view.headroom(call, estimate.m_mean_headroom, now, m_options);
        explanation.m_queued = view.load_report() ? view.load_report()->m_load.m_queued : 0;
        const candidate item{&target, &view, explanation.m_share, false, false};
        const duration cost = expected_cost(item, call, estimate, now);
        explanation.m_expected_wait_ms = std::chrono::duration<double, std::milli>(cost).count();
        if (explanation.m_eligible && explanation.m_slow) {
            explanation.m_why = "slower than its peers: reduced share";
        }
        else if (explanation.m_eligible && explanation.m_share < 1) {
            explanation.m_why = "slow start: share is increasing";
        }
        explanations.push_back(std::move(explanation));
    }
    return explanations;
}

} // namespace pomelohead::routing
