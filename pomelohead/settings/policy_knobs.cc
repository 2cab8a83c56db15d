#include "pomelohead/settings/policy_knobs.h"

#include "pomelohead/admission/options.h"
#include "pomelohead/routing/options.h"

#include <algorithm>
#include <vector>

namespace pomelohead::settings {
namespace {

policy_knob on_off(std::string_view name, bool on, std::string_view text)
{
    return {name, on ? 1.0 : 0.0, 0, 1, text};
}

std::vector<policy_knob> make_knobs()
{
    const admission::admission_options a;
    const routing::routing_options r;
    std::vector<policy_knob> knobs = {
        {"lame_duck_s", 3, 0, 60, "how long a stopping node still accepts connections, in seconds"},
        {"stop_limit_s", 0, 0, 86400,
         "how long a stopping node waits for requests in flight, in seconds; 0: no limit"},
        {"upload_buffer_kib", 1024, 64, 65536,
         "bytes of a request's body held before it takes a slot, in KiB"},
        {"upload_buffers_mib", 32, 1, 4096,
         "bytes of all requests' bodies held before they take slots, in MiB"},
        {"attempts", 3, 1, 10, "the most owners that one request is sent to"},
        {"quarantine_s", 600, 1, 86400, "how long a crash counts against a request, in seconds"},
        {"ticket_s", 600, 1, 86400, "how long a ticket holds, in seconds"},

        on_off("gossip", true, "nodes give each other versions; off: every node reads the source"),
        {"watchers", 2, 1, 100, "nodes of each failure domain that watch the source"},
        {"source_poll_s", 0, 0, 3600,
         "how often a watcher reads the manifest, in seconds; 0: by long polls"},

        on_off("short_reserve", a.m_short_reserve, "long work leaves slots to short work"),
        on_off("urgency_order", a.m_urgency_order, "urgent work leaves the queue first"),
        on_off("depth_order", a.m_depth_order, "deep calls leave the queue first"),
        on_off("fair_share", a.m_fair_share, "accounts with little recent use go first"),
        on_off("deadline_admission", a.m_deadline_admission,
               "what cannot finish in the time left is refused"),
        on_off("bounded_wait", a.m_bounded_wait, "short work does not queue past max_wait_ms"),
        on_off("owner_slow_start", a.m_slow_start, "a new owner begins with few slots"),
        on_off("objective_order", a.m_objective_order,
               "what can meet its latency objective goes first"),
        on_off("deep_first", a.m_deep_first, "deep calls leave the queue before urgent ones"),
        on_off("call_reserve", a.m_call_reserve,
               "requests of callers leave slots free for the calls that targets make"),
        on_off("short_first", a.m_short_first,
               "of requests alike, those of routes with short run times leave the queue first"),
        {"route_floor", a.m_route_floor, 0, 1,
         "with short_first, the least served part of a route, as a share of that of all"},
        {"late_wait_ms", static_cast<double>(a.m_late_wait.count()), 0, 60000,
         "the longest wait of a request that will be late anyway, in ms"},
        {"queue_per_slot", static_cast<double>(a.m_queue_per_slot), 0, 1000,
         "queued short requests per slot"},
        {"max_wait_ms", static_cast<double>(a.m_max_wait.count()), 1, 60000,
         "the longest that a short request waits for a slot, in ms"},

        on_off("power_of_two", r.m_power_of_two, "owners are compared by load"),
        on_off("owner_word", r.m_use_load_reports, "owners' words count in the choice"),
        on_off("slow_detection", r.m_slow_detection, "slow targets get less"),
        on_off("slow_start", r.m_slow_start, "a returning target gets little at first"),
        on_off("local_preference", r.m_local_preference, "the own failure domain goes first"),
        {"cross_domain_cost_ms", static_cast<double>(r.m_cross_domain_cost.count()) / 1000, 0,
         60000, "wait in the own failure domain that is worth a request to another one, in ms"},
        {"cross_domain_cost_ms_per_kib",
         static_cast<double>(r.m_cross_domain_cost_per_kib.count()) / 1000, 0, 60000,
         "the same, for each KiB of the request and its expected response"},
        {"immediate_attempts", static_cast<double>(r.m_immediate_attempts), 0, 10,
         "targets that are asked to start a request at once, before it may wait for a slot"},
        {"max_silence_ms", static_cast<double>(r.m_max_silence.count()), 50, 60000,
         "how long an owner may leave data unacknowledged, in ms"},
        on_off("domain_detection", r.m_domain_detection,
               "a failure domain is left alone while two of its hosts do not respond"),
        {"candidates", static_cast<double>(r.m_candidates), 1, 100,
         "targets that are compared, of the own failure domain and again of all others"},
        on_off("target_history", r.m_use_target_history,
               "targets are rated by their own run times and mean load"),
        on_off("retry_budget", r.m_retry_budget, "retries are a share of successes"),
        on_off("hedging", r.m_hedging, "slow idempotent short reads get a second attempt"),
        {"retry_share", r.m_retry_share, 0, 1, "retries per success"},
        {"retry_cap", r.m_budget_cap, 1, 1000, "retries of one service saved up at most"},
        {"resend_share", r.m_resend_share, 0, 100,
         "resends of requests refused as not run, per success"},
        {"resend_window_ms", static_cast<double>(r.m_resend_window.count()), 0, 60000,
         "how long after its arrival a refused short call may be resent, in ms"},
        {"slow_ratio", r.m_slow_ratio, 1.1, 100,
         "how many times slower than its peers a target counts as slow"},
        {"hedge_share", r.m_hedge_share, 0, 1,
         "share of a service's requests within hedge_window_s that may be hedged; 0: none"},
        {"hedge_window_s", std::chrono::duration<double>(r.m_hedge_window).count(), 1, 600,
         "window over which hedge_share holds, in seconds"},
        on_off("hedge_across_domains", r.m_hedge_across_domains,
               "hedges may leave the own failure domain where it has no target for them"),
        {"hedge_quantile", r.m_hedge_quantile, 0.5, 0.999,
         "share of a route's calls that are answered before one is hedged"},
    };
    std::ranges::sort(knobs, {}, &policy_knob::m_name);
    return knobs;
}

const std::vector<policy_knob>& knobs()
{
    static const std::vector<policy_knob> table = make_knobs();
    return table;
}

} // namespace

std::span<const policy_knob> policy_knobs()
{
    return knobs();
}

const policy_knob* find_policy_knob(std::string_view name)
{
    const auto it = std::ranges::find(knobs(), name, &policy_knob::m_name);
    return it == knobs().end() ? nullptr : &*it;
}

double knob_value(const std::map<std::string, double>& values, std::string_view name)
{
    const auto it = values.find(std::string(name));
    return it != values.end() ? it->second : find_policy_knob(name)->m_default;
}

} // namespace pomelohead::settings
