// Selects the target of a hedge. A hedge is worth its extra work only if it is answered well before
// the first attempt, so a target qualifies only by what is known about it, where choose() takes
// unknown targets too: a recent load report with free slots, no warm-up, and run times like its
// peers. Of two random candidates the one with the lower latency is taken: both have a free slot,
// so the run time decides. Comparing all targets would send the hedges of all entries to one.
#include "pomelohead/routing/owner_selector.h"

#include <algorithm>

namespace pomelohead::routing {
namespace {

// An owner with six slots and a run time of some 20 ms starts 75 requests in this time: an older
// report says nothing about its free slots.
constexpr milliseconds max_report_age{250};

// The owner refuses a hedge unless a slot remains free, so one free slot is not enough.
constexpr double min_free_slots = 2;

// Share of the service's slots that must be free. At 80% use of six slots every second request
// finds all of them taken (Erlang C: 0.52), so each hedge would delay a first attempt.
constexpr double min_free_share = 0.2;

} // namespace

std::string owner_selector::hedge_exclusion_reason(target_view& view, const call_attributes& call,
                                                   duration peer_median, time_point now) const
{
    if (view.load_report()->m_load.m_warming_up) {
        return "warming up";
    }
    if (view.is_rate_limited(now)) {
        return "at its target's rate";
    }
    if (reported_headroom(view.load_report()->m_load, call) < min_free_slots) {
        return "fewer than two free slots";
    }
    if (view.share(peer_median, now, m_options) < 1) {
        return "slow or in slow start";
    }
    return {};
}

std::optional<config::target>
owner_selector::choose_for_hedge(const config::snapshot& config, const config::service& service,
                                 const call_attributes& call, const std::vector<std::string>& tried,
                                 const reachable_fn& reachable, time_point now,
                                 std::mt19937_64& random, reason& why)
{
    struct hedge_candidate {
        const config::target* m_target = nullptr;
        duration m_latency{};
    };
    const duration peer_median = peer_median_latency(service);
    std::vector<hedge_candidate> own;
    std::vector<hedge_candidate> elsewhere;
    std::string exclusions;
    double free = 0;
    double slots = 0;
    const auto exclude = [&](const config::target& target, const std::string& text) {
        exclusions += (exclusions.empty() ? "" : ", ") + target.m_name + ": " + text;
    };
    for (const config::target& target : service.m_targets) {
        const std::string general = exclusion_reason(config, target, {}, reachable, now);
        if (!general.empty()) {
            exclude(target, general);
            continue;
        }
        const auto known = m_views.find(target.m_name);
        if (known == m_views.end() || !known->second.load_report() ||
            now - known->second.load_report()->m_received_at > max_report_age) {
            exclude(target, "no recent load report");
            continue;
        }
        target_view& view = known->second;
        // The queue of a slow target takes no room from the others, which is when hedges help.
        free += std::max(0.0, reported_headroom(view.load_report()->m_load, call));
        slots += target.m_slots;
        const bool is_tried = std::ranges::find(tried, target.m_name) != tried.end();
        const std::string specific =
            is_tried ? "already tried" : hedge_exclusion_reason(view, call, peer_median, now);
        if (!specific.empty()) {
            exclude(target, specific);
            continue;
        }
        const duration latency = view.latency_with_outstanding(peer_median, now);
        (target.m_failure_domain == m_own_domain ? own : elsewhere)
            .push_back({&target, latency > duration::zero() ? latency : peer_median});
    }
    if (free < min_free_share * slots) {
        why = {reason_code::refused,
               "service " + service.m_name + " has too little room: " + std::to_string(free) +
                   " free slots of the " + std::to_string(slots) + " in recent load reports"};
        return std::nullopt;
    }
    const bool leaves_domain = own.empty() && m_options.m_hedge_across_domains;
    std::vector<hedge_candidate>& eligible = leaves_domain ? elsewhere : own;
    if (eligible.empty()) {
        why = {reason_code::unreachable,
               "no target of service " + service.m_name + " for a hedge" +
                   (elsewhere.empty() ? "" : " in the own failure domain") + ": " + exclusions};
        return std::nullopt;
    }
    const hedge_candidate& first = eligible[random() % eligible.size()];
    const hedge_candidate& second = eligible[random() % eligible.size()];
    return *(second.m_latency < first.m_latency ? second : first).m_target;
}

} // namespace pomelohead::routing
