// Offered load from 0.3 to 3 times capacity within a second, held 10 s, and back.
//
// Urgent calls alone are at most 0.75 of capacity. Accounts differ in size by 35
// times; the smallest but one sends deferrable calls only. A tenth of the calls that
// are not urgent come with little of their deadline left, as calls deep in a chain do.
#include "bench/arrivals.h"
#include "bench/report.h"
#include "bench/scenarios.h"

#include <cmath>
#include <map>

namespace pomelohead::bench {
namespace {

using namespace std::chrono_literals;
using config::urgency;

constexpr double low = 0.3;
constexpr double high = 3.0;
constexpr double before_s = 12;
constexpr double ramp_s = 1;
constexpr double hold_s = 10;
constexpr double after_s = 12;
constexpr double warm_up_s = 4;
constexpr double settle_s = 2;
constexpr double crest_begin_s = before_s + ramp_s;
constexpr double crest_end_s = crest_begin_s + hold_s;
constexpr double over_s = crest_end_s + ramp_s;
constexpr double end_s = over_s + after_s;

struct account_mix {
    const char* m_name;
    double m_share; // of the offered load
    double m_urgent;
    double m_normal; // the rest is deferrable
};

constexpr account_mix accounts[] = {
    {"broadcaster-1", 0.70, 0.25, 0.50}, {"broadcaster-2", 0.18, 0.25, 0.50},
    {"marine", 0.07, 0.25, 0.50},        {"rail", 0.02, 0.25, 0.50},
    {"observatories", 0.03, 0.0, 0.0},
};

time_point at_second(double value)
{
    return sim_start + std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

double capacity()
{
    return schedules_service.m_targets * schedules_service.m_slots /
           std::chrono::duration<double>(short_run_time).count();
}

double load_at(double at_s)
{
    const double up = (at_s - before_s) / ramp_s;
    const double down = (over_s - at_s) / ramp_s;
    return low + (high - low) * std::clamp(std::min(up, down), 0.0, 1.0);
}

std::vector<arrival> calls(const run_options& options)
{
    constexpr double tight_share = 0.1;
    std::vector<std::vector<arrival>> streams;
    for (const account_mix& account : accounts) {
        const double shares[] = {account.m_urgent, account.m_normal,
                                 1 - account.m_urgent - account.m_normal};
        for (int level = 0; level < 3; ++level) {
            const double rate = capacity() * account.m_share * shares[level];
            if (rate <= 0) {
                continue;
            }
            stream what;
            what.m_rate = [rate](double at_s) { return rate * load_at(at_s); };
            what.m_max_rate = rate * high;
            what.m_template.m_account = account.m_name;
            what.m_template.m_urgency = static_cast<urgency>(level);
            what.m_template.m_work = short_run_time;
            what.m_template.m_deadline = 250ms;
            what.m_tight_share = level == 0 ? 0 : tight_share;
            streams.push_back(make_stream(
                what, schedules_service.m_targets + schedules_service.m_other_entries,
                std::chrono::duration_cast<duration>(std::chrono::duration<double>(end_s)),
                options.m_seed * 100 + streams.size()));
        }
    }
    return merge(std::move(streams));
}

bool is_in_time(const arrival& item, const call_result& result)
{
    return result.m_end == call_result::end::answered && result.m_took <= item.m_deadline;
}

// Useful answers per second over what was possible, at the least: the lesser of
// capacity and offered load, in steps that are short against the ramp.
double least_useful(const std::vector<arrival>& arrivals, const sim_result& result,
                    const std::function<double(double)>& capacity_at)
{
    constexpr int steps_per_second = 20;
    std::map<int, double> useful;
    std::map<int, double> offered; // by step
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const double at_s = std::chrono::duration<double>(arrivals[i].m_time - sim_start).count();
        offered[static_cast<int>(at_s * steps_per_second)] += 1;
        if (is_in_time(arrivals[i], result.m_calls[i])) {
            const double took_s = std::chrono::duration<double>(result.m_calls[i].m_took).count();
            useful[static_cast<int>(at_s + took_s)] += 1;
        }
    }
    double least = 1;
    for (int second = static_cast<int>(warm_up_s); second < static_cast<int>(end_s) - 1; ++second) {
        double possible = 0;
        for (int step = second * steps_per_second; step < (second + 1) * steps_per_second; ++step) {
            possible += std::min(capacity_at(second) / steps_per_second, offered[step]);
        }
        least = std::min(least, useful[second] / possible);
    }
    return least;
}

// Max-min fair shares of what is left of the capacity among the accounts during the crest: what an
// account does not ask for is divided among the others.
std::map<std::string, double> fair_shares(double capacity_share)
{
    std::map<std::string, double> shares;
    double left = capacity_share;
    double wanting = std::size(accounts);
    std::vector<account_mix> by_size(std::begin(accounts), std::end(accounts));
    std::ranges::sort(by_size, {}, &account_mix::m_share);
    for (const account_mix& account : by_size) {
        const double share = std::min(account.m_share * high, left / wanting);
        shares[account.m_name] = share;
        left -= share;
        wanting -= 1;
    }
    return shares;
}

double least_served_account(const std::vector<arrival>& arrivals, const sim_result& result,
                            double capacity_share)
{
    std::map<std::string, double> served;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const bool is_crest = arrivals[i].m_time >= at_second(crest_begin_s) &&
                              arrivals[i].m_time < at_second(crest_end_s);
        if (is_crest && is_in_time(arrivals[i], result.m_calls[i])) {
            served[arrivals[i].m_account] += 1 / (capacity() * hold_s);
        }
    }
    double least = 1;
    for (const auto& [account, share] : fair_shares(capacity_share)) {
        least = std::min(least, served[account] / share);
    }
    return least;
}

} // namespace

crest_figures measure_crest(const sim_variant& variant, const run_options& options,
                            bool domain_loss)
{
    constexpr double lost_from_s = crest_begin_s + 4;
    constexpr double lost_until_s = crest_begin_s + 8;
    constexpr double cold_s = 1;
    constexpr double cold_slowdown = 3;
    sim_world world = make_world(schedules_service);
    world.m_end = at_second(end_s);
    std::vector<std::size_t> lost;
    for (std::size_t i = 0; domain_loss && i < schedules_service.m_targets; ++i) {
        if (world.m_config.m_services[0].m_targets[i].m_failure_domain == "a") {
            lost.push_back(i);
        }
    }
    if (domain_loss) {
        world.m_disturbances = {
            {at_second(lost_from_s), at_second(lost_until_s), lost, 0},
            {at_second(lost_until_s), at_second(lost_until_s + cold_s), lost, cold_slowdown}};
    }
    const std::vector<arrival> arrivals = calls(options);
    const sim_result result =
        policy_sim(world, variant, arrivals, at_second(warm_up_s), options.m_seed).run();

    const double lost_share =
        static_cast<double>(lost.size()) / static_cast<double>(schedules_service.m_targets);
    const auto capacity_at = [&](double second) {
        const bool is_lost = second >= lost_from_s && second < lost_until_s + settle_s;
        return capacity() * (is_lost ? 1 - lost_share : 1);
    };
    crest_figures figures;
    figures.m_useful_min = least_useful(arrivals, result, capacity_at);
    figures.m_false_refusals = result.m_false_refusals;
    figures.m_return_ratio =
        short_p99(arrivals, result, at_second(over_s + settle_s), at_second(end_s - 1)) /
        short_p99(arrivals, result, at_second(warm_up_s), at_second(before_s));
    const double lost_time = (lost_until_s + settle_s - lost_from_s) / hold_s;
    figures.m_account_min = least_served_account(arrivals, result, 1 - lost_share * lost_time);
    double urgent = 0;
    double urgent_in_time = 0;
    double in_time = 0;
    double attempts = 0;
    double unknown = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const call_result& end = result.m_calls[i];
        const bool is_good = is_in_time(arrivals[i], end);
        in_time += is_good ? 1 : 0;
        attempts += end.m_attempts;
        unknown += end.m_end == call_result::end::late || end.m_end == call_result::end::failed;
        if (arrivals[i].m_urgency == urgency::urgent && arrivals[i].m_time < at_second(end_s - 1)) {
            urgent += 1;
            urgent_in_time += is_good ? 1 : 0;
        }
        if (end.m_end == call_result::end::refused) {
            const double took_ms = std::chrono::duration<double, std::milli>(end.m_took).count();
            figures.m_refusal_max_ms = std::max(figures.m_refusal_max_ms, took_ms);
        }
    }
    figures.m_urgent_in_time = urgent_in_time / urgent;
    figures.m_in_time = in_time / static_cast<double>(arrivals.size());
    figures.m_unknown = unknown / static_cast<double>(arrivals.size());
    figures.m_attempts_per_call = attempts / static_cast<double>(arrivals.size());
    return figures;
}

int crest(const run_options& options)
{
    constexpr double min_useful = 0.9;
    constexpr double min_urgent = 0.99;
    constexpr double max_refusal_ms = 50;
    constexpr double max_return_ratio = 1.2;
    constexpr double min_account = 0.5;
    // Urgent calls alone exceed what is left then; the others keep their floor.
    constexpr double min_account_in_loss = 0.3;
    report out("crest", options.m_seed);
    for (const bool domain_loss : {false, true}) {
        const std::string name = domain_loss ? "policy, one failure domain lost" : "policy";
        const crest_figures figures = measure_crest(sim_variant{}, options, domain_loss);
        out.at_least("useful_answers_min", name, figures.m_useful_min, "share", min_useful);
        out.note("answered_in_time", name, figures.m_in_time, "share");
        out.note("unknown_outcomes", name, figures.m_unknown, "share");
        out.at_most("refusal_max", name, figures.m_refusal_max_ms, "ms", max_refusal_ms);
        out.at_most("false_refusals", name, static_cast<double>(figures.m_false_refusals), "calls",
                    0);
        out.at_most("p99_after_over_before", name, figures.m_return_ratio, "ratio",
                    max_return_ratio);
        out.at_least("account_over_fair_share_min", name, figures.m_account_min, "share",
                     domain_loss ? min_account_in_loss : min_account);
        if (domain_loss) {
            // Calls that were running in the lost domain count; they cannot all be in time.
            out.note("urgent_in_time", name, figures.m_urgent_in_time, "share");
        }
        else {
            out.at_least("urgent_in_time", name, figures.m_urgent_in_time, "share", min_urgent);
        }
        for (const sim_variant& variant : {fifo_round_robin(), fifo_unbudgeted_retries()}) {
            const crest_figures other = measure_crest(variant, options, domain_loss);
            const std::string other_name =
                variant.m_name + (domain_loss ? ", one failure domain lost" : "");
            out.note("useful_answers_min", other_name, other.m_useful_min, "share");
            out.note("answered_in_time", other_name, other.m_in_time, "share");
            out.note("urgent_in_time", other_name, other.m_urgent_in_time, "share");
            out.note("p99_after_over_before", other_name, other.m_return_ratio, "ratio");
            out.note("account_over_fair_share_min", other_name, other.m_account_min, "share");
        }
    }
    return out.exit_code();
}

} // namespace pomelohead::bench
