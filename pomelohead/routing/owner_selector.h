// Selects the target of a service to which an entry node sends a call.
//
// Excluded are targets that the caller names, that are draining (by the configuration or by
// their owner's load report), that have said that they leave, and that are unreachable. A few
// candidates are drawn at random from the rest, slow ones rarely, and the one with the lowest
// expected wait plus network cost is chosen. This prefers the entry's own failure domain until its
// expected wait exceeds the network cost of another one. All randomness comes from the generator
// passed in.
//
//     owner_selector selector(options, "dolgellau", "gwynedd");
//     reason why;
//     std::optional<config::target> target =
//         selector.choose(*snapshot, *service, call, tried, reachable, now, random, why);
//     selector.record_start(target->m_name, call.m_class, now);
//     ...
//     selector.record_load_report(target->m_name, report);
//     selector.record_finish(target->m_name, call.m_class, attempt_result::answered, latency, now);
#pragma once

#include "pomelohead/routing/leaving_mark.h"
#include "pomelohead/routing/target_view.h"
#include "pomelohead/runtime/reason.h"

#include <map>
#include <random>
#include <string>
#include <unordered_map>

namespace pomelohead::routing {

/// How the selector rates one target; shown to operators.
struct target_explanation {
    std::string m_target;
    std::string m_host;
    std::string m_failure_domain;
    bool m_eligible = false;
    bool m_draining = false;
    bool m_slow = false;
    double m_share = 0;            ///< of its normal load, 0 to 1
    double m_free = 0;             ///< estimated free slots; negative: number of queued requests
    std::uint32_t m_queued = 0;    ///< from the owner's latest load report
    double m_expected_wait_ms = 0; ///< includes the network cost
    std::string m_why;             ///< why it is excluded or has a reduced share; empty if neither

    bool operator==(const target_explanation&) const = default;
};

/// Selects targets for one entry node, from its own measurements and owners' load reports.
class owner_selector {
public:
    owner_selector(routing_options options, std::string own_failure_domain, std::string own_region);

    /// Sets the region of each failure domain. Domains without one count as the own region.
    void set_regions(std::map<std::string, std::string> region_by_domain);

    /// Returns the selected target, or nullopt with the reason in `why` if none is eligible.
    /// `busy_targets` had no free slot for this call; one of them is selected, to wait there, if
    /// that takes less time than any candidate. Once m_immediate_attempts were busy, the candidates
    /// are only those of other failure domains.
    [[nodiscard]] std::optional<config::target>
    choose(const config::snapshot& config, const config::service& service,
           const call_attributes& call, const std::vector<std::string>& excluded_targets,
           const reachable_fn& reachable, time_point now, std::mt19937_64& random, reason& why,
           const std::vector<std::string>& busy_targets = {});

    /// Whether a target of the service probably has a free slot for the call, so that asking for
    /// one is worth the messages.
    [[nodiscard]] bool has_headroom(const config::service& service, const call_attributes& call,
                                    time_point now) const
    {
        return mean_reported_headroom(service, call, now) >= min_mean_headroom;
    }

    /// Returns a target for the second attempt of a call that was sent to `tried`, or nullopt with
    /// the reason in `why` if no target qualifies or the service has too little room.
    [[nodiscard]] std::optional<config::target>
    choose_for_hedge(const config::snapshot& config, const config::service& service,
                     const call_attributes& call, const std::vector<std::string>& tried,
                     const reachable_fn& reachable, time_point now, std::mt19937_64& random,
                     reason& why);

    void record_start(const std::string& target, config::work_class work, time_point now);
    void record_finish(const std::string& target, config::work_class work, attempt_result result,
                       duration latency, time_point now);
    /// Records a load report of the owner of `target`, which came with a request of `route`.
    void record_load_report(const std::string& target, const owner_load_report& report,
                            const std::string& route = {});

    /// Records that the owner refused a request because its target takes no more until then. Until
    /// then the target is chosen only if all others are excluded or refused requests likewise.
    void record_rate_limited(const std::string& target, time_point until);

    /// Records that the target has said that it leaves. It is not chosen again, whatever its owner
    /// reports, until it is registered with another start.
    void record_leaving(const config::target& target, time_point now);

    /// Removes the state of targets that are not in `config`.
    void retain(const config::snapshot& config);

    /// Returns how choose() would rate each target of the service now.
    [[nodiscard]] std::vector<target_explanation>
    explain(const config::snapshot& config, const config::service& service,
            const call_attributes& call, const reachable_fn& reachable, time_point now);

private:
    // Mean free slots of a service's targets, less the requests that wait there. Below it more wait
    // than slots are free, and most requests would be refused by each target that they ask.
    static constexpr double min_mean_headroom = 0;

    struct candidate {
        const config::target* m_target = nullptr;
        target_view* m_view = nullptr;
        double m_share = 1;
        bool m_is_local = false;
        bool m_is_busy = false; ///< had no free slot for this call
    };

    // What is known of a service as a whole, for targets of which nothing recent is known.
    struct service_estimate {
        duration m_median_latency{};  ///< zero: unknown
        duration m_median_run_time{}; ///< of the call's route; zero: unknown
        double m_mean_headroom = 0;
    };

    [[nodiscard]] std::string exclusion_reason(const config::snapshot& config,
                                               const config::target& target,
                                               const std::vector<std::string>& excluded,
                                               const reachable_fn& reachable, time_point now) const;
    [[nodiscard]] std::string hedge_exclusion_reason(target_view& view, const call_attributes& call,
                                                     duration peer_median, time_point now) const;
    [[nodiscard]] duration peer_median_latency(const config::service& service) const;
    [[nodiscard]] double mean_reported_headroom(const config::service& service,
                                                const call_attributes& call, time_point now) const;
    [[nodiscard]] duration network_cost(const config::target& target,
                                        const call_attributes& call) const;
    [[nodiscard]] duration median_run_time(const config::service& service,
                                           const std::string& route) const;
    [[nodiscard]] service_estimate estimate_service(const config::service& service,
                                                    const call_attributes& call,
                                                    time_point now) const;
    [[nodiscard]] duration expected_cost(const candidate& item, const call_attributes& call,
                                         const service_estimate& estimate, time_point now) const;
    [[nodiscard]] const candidate& choose_round_robin(const config::service& service,
                                                      const std::vector<candidate>& eligible);
    static void prefer_below_rate(std::vector<candidate>& candidates, time_point now);
    static void sample_by_share(std::vector<candidate>& candidates, std::mt19937_64& random);
    void draw_candidates(std::vector<candidate>& from, std::mt19937_64& random,
                         std::vector<candidate>& drawn) const;

    routing_options m_options;
    std::string m_own_domain;
    std::string m_own_region;
    std::map<std::string, std::string> m_region_by_domain;
    std::unordered_map<std::string, target_view> m_views;
    // By target. A registration may lapse and come back, so these outlive it.
    std::unordered_map<std::string, leaving_mark> m_leaving;
    std::unordered_map<std::string, std::uint64_t> m_round_robin_index; // by service
};

} // namespace pomelohead::routing
