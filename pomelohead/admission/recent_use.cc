// Exponential decay without updating every key: new use is multiplied by e^(t / window)
// instead of reducing all older use, and all sums are divided by the scale before it
// becomes large.
#include "pomelohead/admission/recent_use.h"

#include <algorithm>
#include <cmath>

namespace pomelohead::admission {
namespace {

constexpr double max_scale = 1e6;
constexpr double negligible_s = 1e-7;
constexpr double max_sum_of_floors = 0.5;

std::size_t index(config::work_class work)
{
    return work == config::work_class::short_work ? 0 : 1;
}

} // namespace

void recent_use::rescale(time_point now)
{
    const std::chrono::duration<double> age = now - m_scale_start;
    const std::chrono::duration<double> window = m_window;
    m_scale = std::exp(std::min(age.count() / window.count(), std::log(max_scale) * 2));
    if (m_scale < max_scale) {
        return;
    }
    for (class_use& work : m_classes) {
        work.m_total_s = 0;
        for (auto it = work.m_scaled_use_s.begin(); it != work.m_scaled_use_s.end();) {
            it->second /= m_scale;
            work.m_total_s += it->second;
            it = it->second < negligible_s ? work.m_scaled_use_s.erase(it) : std::next(it);
        }
    }
    m_scale_start = now;
    m_scale = 1;
}

void recent_use::add(const std::string& key, config::work_class work, duration run_time,
                     time_point now)
{
    rescale(now);
    const double scaled_s = std::chrono::duration<double>(run_time).count() * m_scale;
    class_use& totals = m_classes.at(index(work));
    totals.m_scaled_use_s[key] += scaled_s;
    totals.m_total_s += scaled_s;
}

double recent_use::use_seconds(const std::string& key, config::work_class work) const
{
    const class_use& totals = m_classes.at(index(work));
    const auto it = totals.m_scaled_use_s.find(key);
    return it == totals.m_scaled_use_s.end() ? 0 : it->second;
}

double recent_use::share_of(const std::string& key, config::work_class work) const
{
    const double total_s = m_classes.at(index(work)).m_total_s;
    return total_s > 0 ? use_seconds(key, work) / total_s : 0;
}

bool recent_use::is_below_floor(const std::string& key, config::work_class work, double floor) const
{
    const class_use& totals = m_classes.at(index(work));
    const double keys = static_cast<double>(std::max<std::size_t>(1, totals.m_scaled_use_s.size()));
    return use_seconds(key, work) < totals.m_total_s * std::min(floor, max_sum_of_floors / keys);
}

} // namespace pomelohead::admission
