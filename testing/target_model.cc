#include "testing/target_model.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pomelohead::testing {
namespace {

using std::chrono::duration_cast;

using milliseconds_real = std::chrono::duration<double, std::milli>;

milliseconds milliseconds_field(const nlohmann::json& message, const char* field,
                                milliseconds fallback)
{
    return milliseconds(message.value(field, fallback.count()));
}

} // namespace

target_model::target_model(target_options options, time_point now)
    : m_options(std::move(options)), m_started(now), m_slow_periods_start(now),
      m_random(m_options.m_seed)
{
    record(now);
}

target_answer target_model::begin(const std::string& id, std::optional<milliseconds> left,
                                  time_point now)
{
    target_answer answer = target_answer::run;
    if (m_options.m_drain) {
        answer = target_answer::draining;
    }
    else if (left && left->count() <= 0) {
        answer = target_answer::too_late;
    }
    else if (m_running >= m_options.m_slots) {
        answer = target_answer::no_slot;
    }
    else if (m_options.m_shed_share > 0 &&
             std::bernoulli_distribution(std::min(m_options.m_shed_share, 1.0))(m_random)) {
        answer = target_answer::shedding;
    }
    m_answers[answer] += 1;
    if (answer == target_answer::run) {
        m_running += 1;
        m_max_running = std::max(m_max_running, m_running);
        m_runs[id] += 1;
        record(now);
    }
    return answer;
}

void target_model::end(run_end how, time_point now)
{
    m_running -= 1;
    m_ends[how] += 1;
    record(now);
}

duration target_model::work_time(std::optional<double> asked_ms, time_point now)
{
    double work_ms = asked_ms.value_or(m_options.m_work_mean_ms);
    if (!asked_ms && m_options.m_exponential_work && m_options.m_work_mean_ms > 0) {
        work_ms = std::exponential_distribution(1 / m_options.m_work_mean_ms)(m_random);
    }
    return duration_cast<duration>(milliseconds_real(work_ms * work_time_factor(now)));
}

double target_model::work_time_factor(time_point now) const
{
    double factor = 1;
    if (m_options.m_slow_period.count() > 0) {
        const auto phase = (now - m_slow_periods_start + m_options.m_slow_offset) %
                           duration(m_options.m_slow_period);
        factor = phase < m_options.m_slow_length ? m_options.m_slow_factor : 1;
    }
    if (now - m_started < m_options.m_cold_length) {
        const double warmed =
            milliseconds_real(now - m_started) / milliseconds_real(m_options.m_cold_length);
        factor *= m_options.m_cold_factor + (1 - m_options.m_cold_factor) * warmed;
    }
    return factor;
}

std::optional<std::string> target_model::control(const nlohmann::json& message, time_point now)
{
    if (!message.is_object()) {
        return "expected an object";
    }
    try {
        target_options changed = m_options;
        changed.m_work_mean_ms = message.value("work_mean_ms", changed.m_work_mean_ms);
        changed.m_slow_factor = message.value("slow_factor", changed.m_slow_factor);
        changed.m_slow_period =
            milliseconds_field(message, "slow_period_ms", changed.m_slow_period);
        changed.m_slow_length =
            milliseconds_field(message, "slow_length_ms", changed.m_slow_length);
        changed.m_slow_offset =
            milliseconds_field(message, "slow_offset_ms", changed.m_slow_offset);
        changed.m_report_lag = milliseconds_field(message, "report_lag_ms", changed.m_report_lag);
        changed.m_drain = message.value("drain", changed.m_drain);
        changed.m_shed_share = message.value("shed", changed.m_shed_share);
        m_options = std::move(changed);
    }
    catch (const nlohmann::json::exception& error) {
        return error.what();
    }
    m_slow_periods_start = now;
    record(now);
    return std::nullopt;
}

void target_model::drain(time_point now)
{
    m_options.m_drain = true;
    record(now);
}

void target_model::record(time_point now)
{
    m_reports.push_back({now, m_running, m_options.m_drain});
    delayed_report(now);
}

const target_model::report& target_model::delayed_report(time_point now)
{
    const time_point shown = now - m_options.m_report_lag;
    while (m_reports.size() > 1 && m_reports[1].m_time <= shown) {
        m_reports.pop_front();
    }
    return m_reports.front();
}

nlohmann::json target_model::health(time_point now)
{
    return {{"state", delayed_report(now).m_draining ? "draining" : "ok"}};
}

nlohmann::json target_model::load(time_point now)
{
    return {{"running", delayed_report(now).m_running}, {"slots", m_options.m_slots}};
}

nlohmann::json target_model::stats() const
{
    const auto count = [](const auto& counters, auto key) {
        const auto it = counters.find(key);
        return it == counters.end() ? std::uint64_t{0} : it->second;
    };
    return {{"name", m_options.m_name},
            {"running", m_running},
            {"max_running", m_max_running},
            {"begun", count(m_answers, target_answer::run)},
            {"refused_no_slot", count(m_answers, target_answer::no_slot)},
            {"refused_draining", count(m_answers, target_answer::draining)},
            {"refused_shedding", count(m_answers, target_answer::shedding)},
            {"refused_too_late", count(m_answers, target_answer::too_late)},
            {"finished", count(m_ends, run_end::finished)},
            {"cancelled", count(m_ends, run_end::cancelled)},
            {"cut", count(m_ends, run_end::cut)},
            {"deadline", count(m_ends, run_end::deadline)}};
}

} // namespace pomelohead::testing
