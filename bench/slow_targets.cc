// Two of seven targets run 10 times slower for 2 s in every 5 s; load reports are
// 3 s late. Short work takes half of the slots.
#include "bench/arrivals.h"
#include "bench/report.h"
#include "bench/scenarios.h"

namespace pomelohead::bench {
namespace {

using namespace std::chrono_literals;

constexpr double load = 0.5;
constexpr double slowdown = 10;
constexpr auto period = 5s;
constexpr auto slow_for = 2s;
constexpr auto warm_up = 5s;

std::vector<arrival> reads(const run_options& options, duration length)
{
    const double slots = rota_service.m_targets * rota_service.m_slots;
    const double rate = load * slots / std::chrono::duration<double>(short_run_time).count();
    stream what;
    what.m_rate = [rate](double) { return rate; };
    what.m_max_rate = rate;
    what.m_template.m_account = "laurentien";
    what.m_template.m_work = short_run_time;
    what.m_template.m_deadline = 1000ms;
    return make_stream(what, rota_service.m_targets + rota_service.m_other_entries, length,
                       options.m_seed);
}

// Another pair of targets each time.
std::vector<disturbance> slow_times(time_point end)
{
    std::vector<disturbance> result;
    std::size_t first = 0;
    for (time_point at = sim_start + warm_up; at < end; at += period) {
        const std::size_t targets = rota_service.m_targets;
        result.push_back({at, at + slow_for, {first % targets, (first + 3) % targets}, slowdown});
        ++first;
    }
    return result;
}

} // namespace

slow_targets_figures measure_slow_targets(const sim_variant& variant, const run_options& options)
{
    const duration length = options.m_quick ? 30s : 105s;
    sim_world calm_world = make_world(rota_service);
    calm_world.m_end = sim_start + length;
    sim_world slow_world = calm_world;
    slow_world.m_disturbances = slow_times(slow_world.m_end);
    const time_point from = sim_start + warm_up;
    const time_point until = calm_world.m_end - 1s;
    const std::vector<arrival> arrivals = reads(options, length);
    const sim_result calm = policy_sim(calm_world, variant, arrivals, from, options.m_seed).run();
    const sim_result slow = policy_sim(slow_world, variant, arrivals, from, options.m_seed).run();

    slow_targets_figures figures;
    figures.m_calm_p99_ms = short_p99(arrivals, calm, from, until);
    figures.m_slow_p99_ms = short_p99(arrivals, slow, from, until);
    figures.m_p99_ratio = figures.m_slow_p99_ms / figures.m_calm_p99_ms;
    figures.m_p999_ratio = quantile_of(short_latencies(arrivals, slow, from, until), 0.999) /
                           quantile_of(short_latencies(arrivals, calm, from, until), 0.999);
    figures.m_extra_work = slow.m_extra_work_s / slow.m_useful_work_s;
    figures.m_extra_starts =
        static_cast<double>(slow.m_extra_starts) / static_cast<double>(arrivals.size());
    return figures;
}

int slow_targets(const run_options& options)
{
    constexpr double max_p99_ratio = 2.0;
    constexpr double max_extra = 0.05;
    report out("slow_targets", options.m_seed);
    const slow_targets_figures policy = measure_slow_targets(sim_variant{}, options);
    out.at_most("short_p99_over_none_slowed", "policy", policy.m_p99_ratio, "ratio", max_p99_ratio);
    out.note("short_p999_over_none_slowed", "policy", policy.m_p999_ratio, "ratio");
    out.at_most("extra_work", "policy", policy.m_extra_work, "share", max_extra);
    out.at_most("extra_starts", "policy", policy.m_extra_starts, "share", max_extra);
    sim_variant late_reports = fifo_round_robin();
    late_reports.m_name = "fifo_late_reports";
    late_reports.m_chooser = chooser::late_reports;
    for (const sim_variant& variant :
         {fifo_round_robin(), late_reports, fifo_unbudgeted_retries()}) {
        const slow_targets_figures other = measure_slow_targets(variant, options);
        out.note("short_p99_over_none_slowed", variant.m_name, other.m_p99_ratio, "ratio");
        out.note("short_p99_over_policy_none_slowed", variant.m_name,
                 other.m_slow_p99_ms / policy.m_calm_p99_ms, "ratio");
        out.note("extra_work", variant.m_name, other.m_extra_work, "share");
    }
    return out.exit_code();
}

} // namespace pomelohead::bench
