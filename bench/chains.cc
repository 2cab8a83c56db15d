// Call chains of five levels, offered at twice what the targets can take.
#include "bench/arrivals.h"
#include "bench/scenarios.h"

namespace pomelohead::bench {

using namespace std::chrono_literals;

double measure_chains(const sim_variant& variant, const run_options& options)
{
    constexpr double load = 2.0;
    constexpr std::uint32_t levels = 5;
    const duration length = options.m_quick ? 10s : 30s;
    sim_world world = make_world(schedules_service);
    world.m_end = sim_start + length;
    const double slots = schedules_service.m_targets * schedules_service.m_slots;
    const double level_rate = slots / std::chrono::duration<double>(short_run_time).count();
    const double rate = load * level_rate / levels;
    stream what;
    what.m_rate = [rate](double) { return rate; };
    what.m_max_rate = rate;
    what.m_template.m_account = "laurentien";
    what.m_template.m_work = short_run_time;
    what.m_template.m_deadline = 500ms;
    what.m_template.m_levels = levels;
    const std::vector<arrival> arrivals =
        make_stream(what, schedules_service.m_targets + schedules_service.m_other_entries, length,
                    options.m_seed);
    const sim_result result = policy_sim(world, variant, arrivals, sim_start, options.m_seed).run();
    double answered = 0;
    for (const call_result& item : result.m_calls) {
        answered += item.m_end == call_result::end::answered ? 1 : 0;
    }
    const double length_s = std::chrono::duration<double>(length).count();
    return answered * levels / (level_rate * length_s);
}

} // namespace pomelohead::bench
