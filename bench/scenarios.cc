#include "bench/scenarios.h"

#include <cmath>

namespace pomelohead::bench {
namespace {

constexpr milliseconds retry_timeout{100};

} // namespace

sim_variant fifo_round_robin()
{
    sim_variant variant;
    variant.m_name = "fifo_round_robin";
    routing::routing_options& routing = variant.m_routing;
    routing.m_power_of_two = false;
    routing.m_slow_detection = false;
    routing.m_slow_start = false;
    routing.m_local_preference = false;
    routing.m_hedging = false;
    variant.m_plain_queue = true;
    return variant;
}

sim_variant fifo_unbudgeted_retries()
{
    sim_variant variant = fifo_round_robin();
    variant.m_name = "fifo_unbudgeted_retries";
    variant.m_routing.m_retry_budget = false;
    variant.m_attempt_timeout = retry_timeout;
    return variant;
}

double quantile_of(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = std::lround(quantile * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + rank);
    return values[static_cast<std::size_t>(rank)];
}

std::vector<double> short_latencies(const std::vector<arrival>& arrivals, const sim_result& result,
                                    time_point from, time_point until)
{
    std::vector<double> values;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const arrival& item = arrivals[i];
        if (item.m_class != config::work_class::short_work || item.m_time < from ||
            item.m_time >= until) {
            continue;
        }
        const bool is_answered = result.m_calls[i].m_end == call_result::end::answered;
        const duration took = is_answered ? result.m_calls[i].m_took : item.m_deadline;
        values.push_back(std::chrono::duration<double, std::milli>(took).count());
    }
    return values;
}

double short_p99(const std::vector<arrival>& arrivals, const sim_result& result, time_point from,
                 time_point until)
{
    return quantile_of(short_latencies(arrivals, result, from, until), 0.99);
}

} // namespace pomelohead::bench
