// Uploads 50 times longer than short work, offered at 1.5 times what the targets
// can take, beside short work for half of their slots.
#include "bench/arrivals.h"
#include "bench/report.h"
#include "bench/scenarios.h"

namespace pomelohead::bench {
namespace {

using namespace std::chrono_literals;

constexpr double short_load = 0.5;
constexpr double upload_load = 1.5;
constexpr int upload_length = 50;
constexpr auto warm_up = 10s;

std::vector<arrival> short_calls(const run_options& options, duration length)
{
    const double slots = rota_service.m_targets * rota_service.m_slots;
    const double rate = short_load * slots / std::chrono::duration<double>(short_run_time).count();
    stream what;
    what.m_rate = [rate](double) { return rate; };
    what.m_max_rate = rate;
    what.m_template.m_account = "gwynedd";
    what.m_template.m_work = short_run_time;
    what.m_template.m_deadline = 500ms;
    return make_stream(what, rota_service.m_targets + rota_service.m_other_entries, length,
                       options.m_seed);
}

std::vector<arrival> uploads(const run_options& options, duration length)
{
    const double slots = rota_service.m_targets * rota_service.m_slots;
    const duration run_time = short_run_time * upload_length;
    const double rate = upload_load * slots / std::chrono::duration<double>(run_time).count();
    stream what;
    what.m_rate = [rate](double) { return rate; };
    what.m_max_rate = rate;
    what.m_template.m_account = "gwynedd";
    what.m_template.m_class = config::work_class::long_work;
    what.m_template.m_idempotent = false;
    what.m_template.m_work = run_time;
    what.m_template.m_deadline = 120s;
    return make_stream(what, rota_service.m_targets + rota_service.m_other_entries, length,
                       options.m_seed + 1);
}

} // namespace

head_of_line_figures measure_head_of_line(const sim_variant& variant, const run_options& options)
{
    const duration length = options.m_quick ? 30s : 90s;
    sim_world world = make_world(rota_service);
    world.m_end = sim_start + length;
    const time_point from = sim_start + warm_up;
    const std::vector<arrival> alone = short_calls(options, length);
    const std::vector<arrival> both = merge({alone, uploads(options, length)});
    const sim_result calm = policy_sim(world, variant, alone, from, options.m_seed).run();
    const sim_result mixed = policy_sim(world, variant, both, from, options.m_seed).run();

    const time_point until = world.m_end - 1s;
    const double measured_s = std::chrono::duration<double>(world.m_end - from).count();
    const double slot_s = rota_service.m_targets * rota_service.m_slots * measured_s;
    head_of_line_figures figures;
    figures.m_p99_ratio = short_p99(both, mixed, from, until) / short_p99(alone, calm, from, until);
    figures.m_upload_share = mixed.m_long_slot_s / (slot_s - mixed.m_short_slot_s);
    figures.m_cut = mixed.m_cut_long;
    return figures;
}

restart_figures measure_restarts(const sim_variant& variant, const run_options& options)
{
    const duration length = options.m_quick ? 30s : 90s;
    sim_world world = make_world(rota_service);
    world.m_end = sim_start + length;
    const time_point from = sim_start + warm_up;
    std::size_t index = 0;
    for (time_point at = from; at + 1s < world.m_end; at += 2s) {
        world.m_disturbances.push_back(
            {at, at + 200ms, {index++ % rota_service.m_targets}, 0, true});
    }
    const std::vector<arrival> both =
        merge({short_calls(options, length), uploads(options, length)});
    const sim_result result = policy_sim(world, variant, both, from, options.m_seed).run();
    restart_figures figures;
    figures.m_target_refusals =
        static_cast<double>(result.m_target_refusals) / static_cast<double>(index);
    double answered = 0;
    double calls = 0;
    for (std::size_t i = 0; i < both.size(); ++i) {
        if (both[i].m_class == config::work_class::short_work && both[i].m_time >= from &&
            both[i].m_time < world.m_end - 1s) {
            calls += 1;
            answered += result.m_calls[i].m_end == call_result::end::answered ? 1 : 0;
        }
    }
    figures.m_not_answered = 1 - answered / calls;
    return figures;
}

int head_of_line(const run_options& options)
{
    constexpr double max_p99_ratio = 1.5;
    constexpr double min_upload_share = 0.8;
    report out("head_of_line", options.m_seed);
    const head_of_line_figures policy = measure_head_of_line(sim_variant{}, options);
    out.at_most("short_p99_over_no_uploads", "policy", policy.m_p99_ratio, "ratio", max_p99_ratio);
    out.at_least("upload_share_of_free_slots", "policy", policy.m_upload_share, "share",
                 min_upload_share);
    out.at_most("uploads_cut", "policy", static_cast<double>(policy.m_cut), "calls", 0);
    for (const sim_variant& variant : {fifo_round_robin(), fifo_unbudgeted_retries()}) {
        const head_of_line_figures other = measure_head_of_line(variant, options);
        out.note("short_p99_over_no_uploads", variant.m_name, other.m_p99_ratio, "ratio");
        out.note("upload_share_of_free_slots", variant.m_name, other.m_upload_share, "share");
    }
    return out.exit_code();
}

} // namespace pomelohead::bench
