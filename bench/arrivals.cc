#include "bench/arrivals.h"

#include <cmath>

namespace pomelohead::bench {
namespace {

constexpr double run_time_sigma = 0.6; // of the logarithm; the 99th percentile is 3.4 means
constexpr double tight_min_s = 0.005;
constexpr double tight_max_s = 0.060;

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace

sim_world make_world(const service_size& size)
{
    static const char* const domains[] = {"a", "b", "c"};
    sim_world world;
    config::service service;
    service.m_name = "service";
    for (std::size_t i = 0; i < size.m_targets; ++i) {
        config::target target;
        target.m_name = "target-" + std::to_string(i);
        target.m_service = service.m_name;
        target.m_failure_domain = domains[i % std::size(domains)];
        target.m_slots = size.m_slots;
        service.m_targets.push_back(target);
        world.m_entry_domains.push_back(target.m_failure_domain);
    }
    for (std::size_t i = 0; i < size.m_other_entries; ++i) {
        world.m_entry_domains.emplace_back(domains[(size.m_targets + i) % std::size(domains)]);
    }
    world.m_config.m_version = 1;
    world.m_config.m_services = {service};
    return world;
}

std::vector<arrival> make_stream(const stream& what, std::size_t entries, duration length,
                                 std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(what.m_max_rate);
    std::uniform_real_distribution<double> unit(0, 1);
    std::uniform_real_distribution<double> tight(tight_min_s, tight_max_s);
    const double mean_s = std::chrono::duration<double>(what.m_template.m_work).count();
    std::lognormal_distribution<double> run_time(
        std::log(mean_s) - run_time_sigma * run_time_sigma / 2, run_time_sigma);
    const double end_s = std::chrono::duration<double>(length).count();
    std::vector<arrival> result;
    for (double at_s = gap(random); at_s < end_s; at_s += gap(random)) {
        if (unit(random) * what.m_max_rate > what.m_rate(at_s)) {
            continue;
        }
        arrival item = what.m_template;
        item.m_time = sim_start + from_seconds(at_s);
        item.m_entry = random() % entries;
        item.m_work = from_seconds(run_time(random));
        if (unit(random) < what.m_tight_share) {
            item.m_deadline = from_seconds(tight(random));
        }
        result.push_back(std::move(item));
    }
    return result;
}

std::vector<arrival> merge(std::vector<std::vector<arrival>> streams)
{
    std::vector<arrival> result;
    for (std::vector<arrival>& stream : streams) {
        result.insert(result.end(), stream.begin(), stream.end());
    }
    std::ranges::stable_sort(result, {}, &arrival::m_time);
    return result;
}

} // namespace pomelohead::bench
