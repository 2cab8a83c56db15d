// Logarithmic buckets, as in HDR-style histograms: a constant relative error over
// the whole range at a fixed, small size.
#include "pomelohead/telemetry/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pomelohead {
namespace {

constexpr double first_bound_ms = 0.05;
constexpr double growth = 1.25;

const std::array<double, latency_histogram::bucket_count>& bounds()
{
    static const auto table = [] {
        std::array<double, latency_histogram::bucket_count> values{};
        double bound = first_bound_ms;
        for (double& value : values) {
            value = bound;
            bound *= growth;
        }
        values.back() = std::numeric_limits<double>::infinity();
        return values;
    }();
    return table;
}

} // namespace

void latency_histogram::record(std::chrono::nanoseconds latency)
{
    const double value_ms = std::chrono::duration<double, std::milli>(latency).count();
    m_summary(value_ms);
    const auto it = std::ranges::lower_bound(bounds(), value_ms);
    ++m_buckets[static_cast<std::size_t>(it - bounds().begin())];
}

std::uint64_t latency_histogram::count() const
{
    return boost::accumulators::count(m_summary);
}

double latency_histogram::sum_ms() const
{
    return boost::accumulators::sum(m_summary);
}

double latency_histogram::max_ms() const
{
    return count() == 0 ? 0 : boost::accumulators::max(m_summary);
}

double latency_histogram::quantile_ms(double q) const
{
    if (count() == 0) {
        return 0;
    }
    const double rank = std::ceil(q * static_cast<double>(count()));
    double seen = 0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        seen += static_cast<double>(m_buckets[i]);
        if (seen >= std::max(rank, 1.0)) {
            return std::min(upper_bound_ms(i), max_ms());
        }
    }
    return max_ms();
}

double latency_histogram::upper_bound_ms(std::size_t index)
{
    return bounds()[index];
}

} // namespace pomelohead
