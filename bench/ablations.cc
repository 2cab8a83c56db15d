// Each mechanism switched off by its setting, in the scenario that it is meant for.
#include "bench/report.h"
#include "bench/scenarios.h"

namespace pomelohead::bench {
namespace {

struct ablation {
    const char* m_name;
    void (*m_switch_off)(sim_variant&);
};

void measure_all(const run_options& options, const ablation& item, report& out)
{
    sim_variant variant;
    item.m_switch_off(variant);
    const head_of_line_figures uploads = measure_head_of_line(variant, options);
    out.note("head_of_line: short_p99_over_no_uploads", item.m_name, uploads.m_p99_ratio, "ratio");
    out.note("head_of_line: upload_share_of_free_slots", item.m_name, uploads.m_upload_share,
             "share");
    const restart_figures restarts = measure_restarts(variant, options);
    out.note("restarts: target_refusals", item.m_name, restarts.m_target_refusals,
             "calls per restart");
    out.note("restarts: short_not_answered", item.m_name, restarts.m_not_answered, "share");
    out.note("chains: whole_chains_over_capacity", item.m_name, measure_chains(variant, options),
             "share");
    const slow_targets_figures slow = measure_slow_targets(variant, options);
    out.note("slow_targets: short_p99_over_none_slowed", item.m_name, slow.m_p99_ratio, "ratio");
    out.note("slow_targets: short_p999_over_none_slowed", item.m_name, slow.m_p999_ratio, "ratio");
    out.note("slow_targets: extra_work", item.m_name, slow.m_extra_work, "share");
    for (const bool domain_loss : {false, true}) {
        const crest_figures crest = measure_crest(variant, options, domain_loss);
        const std::string scenario = domain_loss ? "crest, domain lost: " : "crest: ";
        out.note(scenario + "useful_answers_min", item.m_name, crest.m_useful_min, "share");
        out.note(scenario + "answered_in_time", item.m_name, crest.m_in_time, "share");
        out.note(scenario + "urgent_in_time", item.m_name, crest.m_urgent_in_time, "share");
        out.note(scenario + "unknown_outcomes", item.m_name, crest.m_unknown, "share");
        out.note(scenario + "refusal_max", item.m_name, crest.m_refusal_max_ms, "ms");
        out.note(scenario + "p99_after_over_before", item.m_name, crest.m_return_ratio, "ratio");
        out.note(scenario + "account_over_fair_share_min", item.m_name, crest.m_account_min,
                 "share");
        out.note(scenario + "attempts_per_call", item.m_name, crest.m_attempts_per_call, "ratio");
    }
}

} // namespace

int ablations(const run_options& options)
{
    const ablation items[] = {
        {"all on", [](sim_variant&) {}},
        {"no short_reserve", [](sim_variant& v) { v.m_admission.m_short_reserve = false; }},
        {"no urgency_order", [](sim_variant& v) { v.m_admission.m_urgency_order = false; }},
        {"no depth_order", [](sim_variant& v) { v.m_admission.m_depth_order = false; }},
        {"no fair_share", [](sim_variant& v) { v.m_admission.m_fair_share = false; }},
        {"no deadline_admission",
         [](sim_variant& v) { v.m_admission.m_deadline_admission = false; }},
        {"no bounded_wait", [](sim_variant& v) { v.m_admission.m_bounded_wait = false; }},
        {"no slow_start, owner", [](sim_variant& v) { v.m_admission.m_slow_start = false; }},
        {"no power_of_two", [](sim_variant& v) { v.m_routing.m_power_of_two = false; }},
        {"no owner_word", [](sim_variant& v) { v.m_routing.m_use_load_reports = false; }},
        {"no slow_detection", [](sim_variant& v) { v.m_routing.m_slow_detection = false; }},
        {"no slow_start, entry", [](sim_variant& v) { v.m_routing.m_slow_start = false; }},
        {"no local_preference", [](sim_variant& v) { v.m_routing.m_local_preference = false; }},
        {"no retry_budget", [](sim_variant& v) { v.m_routing.m_retry_budget = false; }},
        {"no hedging", [](sim_variant& v) { v.m_routing.m_hedging = false; }},
    };
    report out("ablations", options.m_seed);
    for (const ablation& item : items) {
        measure_all(options, item, out);
    }
    return out.exit_code();
}

} // namespace pomelohead::bench
