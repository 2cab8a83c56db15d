#include "pomelohead/admission/run_times.h"

#include <algorithm>

namespace pomelohead::admission {
namespace {

// Bounds memory; further routes use their class's estimate.
constexpr std::size_t max_routes = 1000;
constexpr std::uint64_t min_route_samples = 5;
constexpr double mean_gain = 0.05;
// Samples are capped at this multiple of the typical run time, so that one sample of a
// heavy-tailed distribution does not dominate the mean.
constexpr double max_over_typical = 8.0;

std::size_t index(config::work_class work)
{
    return work == config::work_class::short_work ? 0 : 1;
}

} // namespace

void run_times::add(config::work_class work, const std::string& route, duration run_time)
{
    class_times& times = m_classes.at(index(work));
    times.m_typical.add(run_time);
    const double typical_s = std::chrono::duration<double>(times.m_typical.value()).count();
    const double sample_s = std::chrono::duration<double>(run_time).count();
    const double bounded_s = std::min(sample_s, typical_s * max_over_typical);
    const double gain = std::max(mean_gain, 1.0 / static_cast<double>(times.m_typical.count()));
    times.m_mean_s += gain * (bounded_s - times.m_mean_s);
    if (route.empty()) {
        return;
    }
    const auto it = m_routes.find(route);
    if (it != m_routes.end()) {
        it->second.add(run_time);
    }
    else if (m_routes.size() < max_routes) {
        m_routes[route].add(run_time);
    }
}

duration run_times::typical_run_time(config::work_class work, const std::string& route) const
{
    const auto it = m_routes.find(route);
    if (it != m_routes.end() && it->second.count() >= min_route_samples) {
        return it->second.value();
    }
    return m_classes.at(index(work)).m_typical.value();
}

duration run_times::mean_run_time(config::work_class work) const
{
    const std::chrono::duration<double> seconds(m_classes.at(index(work)).m_mean_s);
    return std::chrono::duration_cast<duration>(seconds);
}

} // namespace pomelohead::admission
