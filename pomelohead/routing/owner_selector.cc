// Two random choices instead of the best of all: M. Mitzenmacher, "The power of two
// choices in randomized load balancing", 2001. With words that are older than a
// request's run time, the best of all would draw every entry to the same target.
//
// The expected wait is the mean number of requests in excess of the slots, where
// the true headroom is taken to be spread logistically around its estimate: a
// target with one slot free by an old word is likelier to be full than one with five.
#include "pomelohead/routing/owner_selector.h"

#include <algorithm>
#include <cmath>

namespace pomelohead::routing {
namespace {

using config::work_class;

constexpr double headroom_spread = 1.0; // slots
constexpr milliseconds unknown_latency{10};

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

std::string owner_selector::why_left_out(const config::snapshot& config,
                                         const config::target& target,
                                         const std::vector<std::string>& excluded,
                                         const reachable_fn& reachable, time_point now) const
{
    if (std::ranges::find(excluded, target.m_name) != excluded.end()) {
        return "already tried";
    }
    if (config.is_draining(target.m_name)) {
        return "drained by the configuration";
    }
    const auto view = m_views.find(target.m_name);
    if (view != m_views.end() && view->second.is_draining(now, m_options)) {
        return "its owner drains it";
    }
    if (reachable && !reachable(target)) {
        return "unreachable";
    }
    return {};
}

duration owner_selector::typical_latency(const config::service& service) const
{
    std::vector<duration> latencies;
    for (const config::target& target : service.m_targets) {
        const auto view = m_views.find(target.m_name);
        if (view != m_views.end() && view->second.answered_latency() > duration::zero()) {
            latencies.push_back(view->second.answered_latency());
        }
    }
    if (latencies.empty()) {
        return duration::zero();
    }
    // The lower median: with two targets known, the faster one is the measure.
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::ranges::nth_element(latencies, middle);
    return *middle;
}

double owner_selector::usual_headroom(const config::service& service, const call_facts& call,
                                      time_point now) const
{
    double sum = 0;
    double count = 0;
    double slots = 0;
    for (const config::target& target : service.m_targets) {
        slots += target.m_slots;
        const auto view = m_views.find(target.m_name);
        if (view == m_views.end() || !view->second.word()) {
            continue;
        }
        const double trust =
            std::exp(-std::chrono::duration<double>(now - view->second.word()->m_heard).count() /
                     std::chrono::duration<double>(m_options.m_word_age).count());
        sum += trust * said_headroom(view->second.word()->m_load, call);
        count += trust;
    }
    // Half of the slots stand in while no word has been heard.
    const double half = slots / static_cast<double>(service.m_targets.size()) / 2;
    constexpr double weight_of_default = 0.1;
    return (sum + weight_of_default * half) / (count + weight_of_default);
}

duration owner_selector::network_cost(const config::target& target) const
{
    if (target.m_failure_domain == m_own_domain) {
        return duration::zero();
    }
    const auto region = m_region_by_domain.find(target.m_failure_domain);
    const bool is_remote = region != m_region_by_domain.end() && region->second != m_own_region;
    return is_remote ? m_options.m_region_cost : m_options.m_domain_cost;
}

duration owner_selector::expected_cost(const candidate& item, const call_facts& call,
                                       duration typical, double usual, time_point now) const
{
    const double headroom = item.m_view->headroom(call, usual, now, m_options);
    const duration run_time = typical > duration::zero() ? typical : unknown_latency;
    const double excess = expected_excess(headroom) / std::max(1U, item.m_target->m_slots);
    const auto wait = std::chrono::duration_cast<duration>(run_time * excess);
    return wait + (m_options.m_local_preference ? network_cost(*item.m_target) : duration::zero());
}

// Keeps each candidate with the probability of its share; all where none is kept.
void owner_selector::thin_out(std::vector<candidate>& candidates, std::mt19937_64& random)
{
    std::vector<candidate> kept;
    std::uniform_real_distribution<double> unit(0, 1);
    for (const candidate& item : candidates) {
        if (item.m_share >= 1 || unit(random) < item.m_share) {
            kept.push_back(item);
        }
    }
    if (!kept.empty()) {
        candidates = std::move(kept);
    }
}

void owner_selector::draw(std::vector<candidate>& from, std::mt19937_64& random,
                          std::vector<candidate>& drawn) const
{
    for (std::uint32_t i = 0; i < m_options.m_candidates && !from.empty(); ++i) {
        const std::size_t index = random() % from.size();
        drawn.push_back(from[index]);
        from[index] = from.back();
        from.pop_back();
    }
}

const owner_selector::candidate& owner_selector::round_robin(const config::service& service,
                                                             const std::vector<candidate>& eligible)
{
    return eligible[m_round_robin[service.m_name]++ % eligible.size()];
}

std::optional<config::target>
owner_selector::choose(const config::snapshot& config, const config::service& service,
                       const call_facts& call, const std::vector<std::string>& excluded_targets,
                       const reachable_fn& reachable, time_point now, std::mt19937_64& random,
                       reason& why)
{
    const duration typical = typical_latency(service);
    std::vector<candidate> eligible;
    std::string left_out;
    for (const config::target& target : service.m_targets) {
        std::string cause = why_left_out(config, target, excluded_targets, reachable, now);
        if (!cause.empty()) {
            left_out += (left_out.empty() ? "" : ", ") + target.m_name + ": " + cause;
            continue;
        }
        target_view& view = m_views[target.m_name];
        const bool is_local =
            !m_options.m_local_preference || target.m_failure_domain == m_own_domain;
        const candidate item{&target, &view, view.share(typical, now, m_options), is_local};
        eligible.push_back(item);
    }
    if (eligible.empty()) {
        why = {reason_code::unreachable,
               "no target of service " + service.m_name + " can take work: " + left_out};
        return std::nullopt;
    }
    thin_out(eligible, random);
    if (!m_options.m_power_of_two) {
        return *round_robin(service, eligible).m_target;
    }
    std::vector<candidate> local;
    std::vector<candidate> elsewhere;
    for (const candidate& item : eligible) {
        (item.m_local ? local : elsewhere).push_back(item);
    }
    std::vector<candidate> drawn;
    draw(local, random, drawn);
    draw(elsewhere, random, drawn);
    const double usual = usual_headroom(service, call, now);
    const auto cost = [&](const candidate& item) {
        return expected_cost(item, call, typical, usual, now);
    };
    return *std::ranges::min_element(drawn, {}, cost)->m_target;
}

void owner_selector::started(const std::string& target, work_class work, time_point now)
{
    m_views[target].started(work, now);
}

void owner_selector::finished(const std::string& target, work_class work, attempt_result result,
                              duration latency, time_point now)
{
    m_views[target].finished(work, result, latency, now);
}

void owner_selector::heard(const std::string& target, const owner_word& word)
{
    m_views[target].heard(word, m_options);
}

void owner_selector::retain(const config::snapshot& config)
{
    std::erase_if(m_views,
                  [&](const auto& item) { return config.find_target(item.first) == nullptr; });
}

std::vector<target_explanation>
owner_selector::explain(const config::snapshot& config, const config::service& service,
                        const call_facts& call, const reachable_fn& reachable, time_point now)
{
    const duration typical = typical_latency(service);
    const double usual = usual_headroom(service, call, now);
    std::vector<target_explanation> lines;
    for (const config::target& target : service.m_targets) {
        target_view view = m_views[target.m_name];
        target_explanation line;
        line.m_target = target.m_name;
        line.m_host = target.m_host;
        line.m_failure_domain = target.m_failure_domain;
        line.m_why = why_left_out(config, target, {}, reachable, now);
        line.m_eligible = line.m_why.empty();
        line.m_draining = view.is_draining(now, m_options) || config.is_draining(target.m_name);
        line.m_share = view.share(typical, now, m_options);
        line.m_slow = view.slow_ratio(typical, now, m_options) >= m_options.m_slow_ratio;
        line.m_free = view.headroom(call, usual, now, m_options);
        line.m_queued = view.word() ? view.word()->m_load.m_queued : 0;
        const candidate item{&target, &view, line.m_share, false};
        const duration cost = expected_cost(item, call, typical, usual, now);
        line.m_expected_wait_ms = std::chrono::duration<double, std::milli>(cost).count();
        if (line.m_eligible && line.m_slow) {
            line.m_why = "slower than its peers: gets a small share";
        }
        else if (line.m_eligible && line.m_share < 1) {
            line.m_why = "returning: its share grows";
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace pomelohead::routing
