// The measured scenarios and the variants of the policy that go through them.
#pragma once

#include "bench/policy_sim.h"

#include <string>
#include <vector>

namespace pomelohead::bench {

/// What a run is asked for.
struct run_options {
    std::uint64_t m_seed = 1;
    bool m_quick = false;
};

/// Each prints its figures and returns the process's exit code: 1 where a bound is missed.
[[nodiscard]] int head_of_line(const run_options& options);
[[nodiscard]] int slow_targets(const run_options& options);
[[nodiscard]] int crest(const run_options& options);
[[nodiscard]] int ablations(const run_options& options);

/// One first-in-first-out queue per target, targets in turn, no further attempts.
[[nodiscard]] sim_variant fifo_round_robin();
/// The same, with a second to fourth attempt whenever one takes too long.
[[nodiscard]] sim_variant fifo_unbudgeted_retries();

/// The `quantile` of values in any order; 0 where there are none.
[[nodiscard]] double quantile_of(std::vector<double> values, double quantile);

/// Latencies in ms of answered short calls that arrived within a time.
[[nodiscard]] std::vector<double> short_latencies(const std::vector<arrival>& arrivals,
                                                  const sim_result& result, time_point from,
                                                  time_point until);

/// The p99 in ms of short calls that arrived within a time. A call without an answer
/// counts as its deadline.
[[nodiscard]] double short_p99(const std::vector<arrival>& arrivals, const sim_result& result,
                               time_point from, time_point until);

/// The figures of head_of_line for one variant.
struct head_of_line_figures {
    double m_p99_ratio = 0;    ///< short p99 with uploads over that without
    double m_upload_share = 0; ///< of the slots that short work leaves free
    std::uint64_t m_cut = 0;
};
[[nodiscard]] head_of_line_figures measure_head_of_line(const sim_variant& variant,
                                                        const run_options& options);

/// The figures of owners that restart in turn while their targets go on.
struct restart_figures {
    double m_target_refusals = 0; ///< requests started above a target's slots, per restart
    double m_not_answered = 0;    ///< share of short calls
};
/// head_of_line with one owner down for 200 ms every 2 s.
[[nodiscard]] restart_figures measure_restarts(const sim_variant& variant,
                                               const run_options& options);

/// The figures of slow_targets for one variant.
struct slow_targets_figures {
    double m_calm_p99_ms = 0;
    double m_slow_p99_ms = 0;
    double m_p99_ratio = 0; ///< p99 with slowed targets over that without
    double m_p999_ratio = 0;
    double m_extra_work = 0;   ///< run time of extra attempts over useful run time
    double m_extra_starts = 0; ///< extra attempts that ran, per answered call
};
[[nodiscard]] slow_targets_figures measure_slow_targets(const sim_variant& variant,
                                                        const run_options& options);

/// Five-level call chains at twice the capacity: whole chains served over capacity.
[[nodiscard]] double measure_chains(const sim_variant& variant, const run_options& options);

/// The figures of crest for one variant.
struct crest_figures {
    double m_useful_min = 0;     ///< least useful answers per second over capacity or load
    double m_urgent_in_time = 0; ///< share of urgent calls answered in time
    double m_refusal_max_ms = 0;
    std::uint64_t m_false_refusals = 0;
    double m_return_ratio = 0; ///< p99 from 2 s after the crest over p99 before it
    double m_account_min = 0;  ///< least served account over its fair share
    double m_in_time = 0;      ///< share of all calls answered in time
    double m_attempts_per_call = 0;
    double m_unknown = 0; ///< share of calls that ended neither answered nor refused
};
/// With `domain_loss`, the targets of one failure domain are down from 4 s to 8 s of the
/// crest and return cold: for 1 s they run 3 times slower.
[[nodiscard]] crest_figures measure_crest(const sim_variant& variant, const run_options& options,
                                          bool domain_loss);

} // namespace pomelohead::bench
