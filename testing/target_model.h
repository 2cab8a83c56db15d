// The behaviour of a target, without its sockets: slots, work times, slow
// episodes, cold start, drain, shedding, and reports that lag.
//
//     target_model model(options, clock_type::now());
//     if (model.begin(id, deadline, now) == target_answer::run) {
//         duration work = model.work_time(std::nullopt, now);
//         ...
//         model.end(run_end::finished, now);
//     }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace pomelohead::testing {

/// A target's properties. Those that a control message may change say so.
struct target_options {
    std::string m_name = "target";
    std::uint32_t m_slots = 9;
    std::uint32_t m_connections = 110;
    double m_work_mean_ms = 5;       ///< control: work_mean_ms
    bool m_exponential_work = false; ///< otherwise each run takes the mean
    std::uint64_t m_seed = 1;
    double m_slow_factor = 1;                      ///< control: slow_factor
    std::chrono::milliseconds m_slow_period{5000}; ///< control: slow_period_ms
    std::chrono::milliseconds m_slow_length{2000}; ///< control: slow_length_ms
    std::chrono::milliseconds m_slow_offset{0};    ///< control: slow_offset_ms
    double m_cold_factor = 1;                      ///< at start, falling to 1
    std::chrono::milliseconds m_cold_length{0};
    std::chrono::milliseconds m_report_lag{0}; ///< control: report_lag_ms
    bool m_drain = false;                      ///< control: drain
    double m_shed_share = 0;                   ///< control: shed; refused share of the work
};

/// The admission result of an arriving request.
enum class target_answer { run, no_slot, draining, shedding, too_late };

/// How a run ended.
enum class run_end { finished, cancelled, cut, deadline };

/// The state of one target.
class target_model {
public:
    target_model(target_options options, time_point now);

    /// Offers a request with the time that is left for it. On `run` a slot is taken.
    target_answer begin(const std::string& id, std::optional<milliseconds> left, time_point now);

    /// Frees the slot of a run.
    void end(run_end how, time_point now);

    /// How long a run that begins now takes; `asked` replaces the drawn time.
    [[nodiscard]] duration work_time(std::optional<double> asked_ms, time_point now);

    /// Applies a control message. Returns an error's text, or nothing.
    [[nodiscard]] std::optional<std::string> control(const nlohmann::json& message, time_point now);

    void drain(time_point now);

    [[nodiscard]] const target_options& options() const { return m_options; }

    /// Runs begun, by request id.
    [[nodiscard]] const std::map<std::string, std::uint32_t>& runs() const { return m_runs; }

    /// The reports of the target itself, as old as the lag.
    [[nodiscard]] nlohmann::json health(time_point now);
    [[nodiscard]] nlohmann::json load(time_point now);

    /// The true counters, for tests.
    [[nodiscard]] nlohmann::json stats() const;

private:
    struct report {
        time_point m_time;
        std::uint32_t m_running = 0;
        bool m_draining = false;
    };

    [[nodiscard]] double work_time_factor(time_point now) const;
    void record(time_point now);
    const report& delayed_report(time_point now);

    target_options m_options;
    time_point m_started;
    time_point m_slow_periods_start;
    std::mt19937_64 m_random;
    std::uint32_t m_running = 0;
    std::uint32_t m_max_running = 0;
    std::map<std::string, std::uint32_t> m_runs;
    std::map<target_answer, std::uint64_t> m_answers;
    std::map<run_end, std::uint64_t> m_ends;
    std::deque<report> m_reports; ///< oldest first; the first is the one shown
};

} // namespace pomelohead::testing
