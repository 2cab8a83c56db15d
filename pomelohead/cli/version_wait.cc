#include "pomelohead/cli/version_wait.h"

#include <algorithm>
#include <cmath>

namespace pomelohead::cli {
namespace {

std::string seconds_text(double seconds)
{
    return std::to_string(std::lround(seconds)) + " s";
}

std::string lack_text(const node_status& status, config::version_number version)
{
    const std::string held = status.m_version == 0
                                 ? std::string("has no configuration")
                                 : "has version " + std::to_string(status.m_version);
    if (status.m_last_refusal && status.m_last_refusal->m_version == version) {
        return held + "; refused version " + std::to_string(version) + ": " +
               status.m_last_refusal->m_text + " (" + status.m_last_refusal->m_code + ")";
    }
    std::string text = held + "; has not heard of version " + std::to_string(version);
    if (!status.m_source_state.empty()) {
        text += "; source " + status.m_source_state;
    }
    if (status.m_last_contact_s) {
        text += ", last contact " + seconds_text(*status.m_last_contact_s) + " ago";
    }
    return text;
}

// One polling round. Members are looked up in each round, since nodes join and leave.
std::vector<node_report> ask_round(const wait_options& options, const wait_hooks& hooks,
                                   milliseconds limit)
{
    std::vector<node_report> reports = ask_status(hooks.m_fetch, options.m_nodes, limit);
    if (!options.m_members) {
        return reports;
    }
    const std::vector<node_address> all = with_members(reports);
    const std::vector<node_address> others(
        all.begin() + static_cast<std::ptrdiff_t>(reports.size()), all.end());
    for (node_report& report : ask_status(hooks.m_fetch, others, limit)) {
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace

wait_node judge(const node_report& report, config::version_number version)
{
    wait_node result{.m_address = report.m_address, .m_node = {}, .m_why = {}};
    if (!report.m_status) {
        result.m_why = report.m_why.m_text;
        return result;
    }
    const node_status& status = *report.m_status;
    result.m_node = status.m_node;
    result.m_version = status.m_version;
    result.m_in_force = status.m_version >= version;
    if (!result.m_in_force) {
        result.m_why = lack_text(status, version);
    }
    return result;
}

wait_result wait_for_version(const wait_options& options, const wait_hooks& hooks)
{
    const auto start = hooks.m_now();
    wait_result result;
    for (;;) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(start + options.m_limit - hooks.m_now());
        result.m_nodes.clear();
        const milliseconds limit = std::clamp(left, min_poll_limit, poll_limit);
        for (const node_report& report : ask_round(options, hooks, limit)) {
            result.m_nodes.push_back(judge(report, options.m_version));
        }
        result.m_good = std::ranges::all_of(result.m_nodes, &wait_node::m_in_force);
        result.m_waited = std::chrono::duration_cast<milliseconds>(hooks.m_now() - start);
        if (result.m_good || result.m_waited >= options.m_limit) {
            return result;
        }
        hooks.m_sleep(std::min(poll_pause, options.m_limit - result.m_waited));
    }
}

} // namespace pomelohead::cli
