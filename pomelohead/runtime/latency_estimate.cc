// typical_duration is a recursive M-estimate with Huber's bounded influence
// (P. J. Huber, "Robust estimation of a location parameter", 1964): a sample's
// deviation is clipped before it is averaged in. duration_quantile is stochastic
// approximation of a quantile (H. Robbins and S. Monro, 1951): the estimate moves
// up by q steps for a sample above it and down by 1 - q steps for one below.
#include "pomelohead/runtime/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace pomelohead {
namespace {

constexpr double max_deviation = 1.5; // a factor of about 4.5
constexpr double quantile_step = 0.1;
constexpr double first_quantile_step = 0.5;
constexpr std::uint64_t quantile_settling_samples = 100;

double log_seconds(duration value)
{
    constexpr double shortest_s = 1e-6;
    return std::log(std::max(shortest_s, std::chrono::duration<double>(value).count()));
}

duration from_log_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::exp(value)));
}

} // namespace

void typical_duration::add(duration sample)
{
    ++m_count;
    const double x = log_seconds(sample);
    if (m_count == 1) {
        m_log_s = x;
        return;
    }
    const double gain = std::max(m_gain, 1.0 / static_cast<double>(m_count));
    m_log_s += gain * std::clamp(x - m_log_s, -max_deviation, max_deviation);
}

duration typical_duration::value() const
{
    return m_count == 0 ? duration::zero() : from_log_seconds(m_log_s);
}

void duration_quantile::add(duration sample)
{
    ++m_count;
    const double x = log_seconds(sample);
    if (m_count == 1) {
        m_log_s = x;
        return;
    }
    const double step = m_count < quantile_settling_samples ? first_quantile_step : quantile_step;
    m_log_s += x > m_log_s ? step * m_quantile : -step * (1 - m_quantile);
}

duration duration_quantile::value() const
{
    return m_count == 0 ? duration::zero() : from_log_seconds(m_log_s);
}

} // namespace pomelohead
