// Arrivals of a changing rate are drawn by thinning (Lewis and Shedler, 1979): draw
// at the highest rate, and keep each arrival with the ratio of the rates.
#include "testing/load_plan.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pomelohead::testing {
namespace {

request_kind read_kind(const nlohmann::json& value)
{
    request_kind kind;
    kind.m_name = value.at("name").get<std::string>();
    kind.m_share = value.value("share", kind.m_share);
    kind.m_method = value.value("method", kind.m_method);
    kind.m_path = value.value("path", kind.m_path);
    kind.m_headers = value.value("headers", kind.m_headers);
    kind.m_body_bytes = value.value("body_bytes", kind.m_body_bytes);
    kind.m_trickle_bytes_per_s = value.value("trickle_bytes_per_s", kind.m_trickle_bytes_per_s);
    if (value.contains("work_ms")) {
        kind.m_work_ms = value.at("work_ms").get<double>();
    }
    kind.m_exponential_work = value.value("exponential_work", false);
    kind.m_ticket = value.value("ticket", kind.m_ticket);
    kind.m_resends = value.value("resends", kind.m_resends);
    return kind;
}

std::vector<double> shares(const load_plan& plan)
{
    std::vector<double> result;
    for (const request_kind& kind : plan.m_mix) {
        result.push_back(kind.m_share);
    }
    return result;
}

} // namespace

load_plan read_plan(const nlohmann::json& value)
{
    load_plan plan;
    plan.m_seed = value.value("seed", plan.m_seed);
    plan.m_duration_s = value.value("duration_s", plan.m_duration_s);
    for (const nlohmann::json& step : value.at("schedule")) {
        plan.m_schedule.push_back(
            {step.at("at_s").get<double>(), step.at("rate_per_s").get<double>()});
    }
    plan.m_entries = value.at("entries").get<std::vector<std::string>>();
    plan.m_id_prefix = value.value("id_prefix", plan.m_id_prefix);
    plan.m_timeout_ms = value.value("timeout_ms", plan.m_timeout_ms);
    plan.m_records = value.value("records", plan.m_records);
    for (const nlohmann::json& kind : value.at("mix")) {
        plan.m_mix.push_back(read_kind(kind));
    }
    return plan;
}

arrival_process::arrival_process(const load_plan& plan) : m_plan(plan), m_random(plan.m_seed)
{
    const std::vector<double> weights = shares(plan);
    m_kinds = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    for (const rate_step& step : plan.m_schedule) {
        m_max_rate = std::max(m_max_rate, step.m_rate_per_s);
    }
}

std::optional<arrival> arrival_process::next()
{
    std::uniform_real_distribution<double> unit;
    do {
        if (m_max_rate <= 0) {
            return std::nullopt;
        }
        m_now_s += std::exponential_distribution(m_max_rate)(m_random);
        if (m_now_s >= m_plan.m_duration_s) {
            return std::nullopt;
        }
    } while (unit(m_random) * m_max_rate >= rate_at(m_now_s));
    arrival result{.m_at_s = m_now_s, .m_kind = m_kinds(m_random)};
    result.m_entry =
        std::uniform_int_distribution<std::size_t>(0, m_plan.m_entries.size() - 1)(m_random);
    const request_kind& kind = m_plan.m_mix[result.m_kind];
    result.m_work_ms = kind.m_work_ms;
    if (kind.m_work_ms && kind.m_exponential_work) {
        result.m_work_ms = std::exponential_distribution(1 / *kind.m_work_ms)(m_random);
    }
    return result;
}

double arrival_process::rate_at(double at_s) const
{
    double rate = 0;
    for (const rate_step& step : m_plan.m_schedule) {
        if (step.m_at_s <= at_s) {
            rate = step.m_rate_per_s;
        }
    }
    return rate;
}

} // namespace pomelohead::testing
