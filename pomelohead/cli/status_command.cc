#include "pomelohead/cli/status_command.h"

#include "pomelohead/cli/console.h"
#include "pomelohead/cli/latency_chart.h"
#include "pomelohead/cli/node_options.h"
#include "pomelohead/cli/node_status.h"
#include "pomelohead/cli/text_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <memory>

namespace pomelohead::cli {
namespace {

using json = nlohmann::ordered_json;

// The longest that one node may take to answer.
constexpr std::chrono::milliseconds answer_limit{2'000};

struct status_options {
    node_options m_common;
    bool m_members = false;
    bool m_latency = false;
};

std::vector<node_address> nodes_to_ask(const status_options& options)
{
    std::vector<node_address> nodes = nodes_of(options.m_common);
    return options.m_members ? with_members(ask_status(fetch_all, nodes, answer_limit)) : nodes;
}

int exit_code_for(std::size_t asked, std::size_t answered)
{
    if (answered == 0) {
        return exit_unusable;
    }
    return answered == asked ? exit_good : exit_found;
}

void print(const json& value)
{
    std::cout << value.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
}

// The nodes' own pages, for programs; an array in the order in which they were asked.
json pages_to_json(const std::vector<admin_answer>& answers)
{
    json nodes = json::array();
    for (const admin_answer& answer : answers) {
        json item = {{"address", to_string(answer.m_node)}, {"answered", false}};
        const json page =
            answer.m_body ? json::parse(*answer.m_body, nullptr, false) : json(nullptr);
        if (page.is_object()) {
            item["answered"] = true;
            item["page"] = page;
        }
        else {
            item["why"] = answer.m_body ? "the page is not a JSON object" : answer.m_why.m_text;
        }
        nodes.push_back(std::move(item));
    }
    return nodes;
}

int print_pages(const std::vector<admin_answer>& answers)
{
    const json nodes = pages_to_json(answers);
    const auto answered = std::ranges::count_if(
        nodes, [](const json& item) { return item["answered"] == json(true); });
    print({{"nodes", nodes}});
    return exit_code_for(answers.size(), static_cast<std::size_t>(answered));
}

std::string notes_of(const node_status& status)
{
    std::string notes = status.m_draining ? "draining" : "";
    for (const std::string& domain : status.m_evacuated_domains) {
        notes += (notes.empty() ? "" : "; ") + ("evacuated: " + domain);
    }
    if (status.m_last_refusal) {
        notes += notes.empty() ? "" : "; ";
        notes += "refused version " + std::to_string(status.m_last_refusal->m_version) + ": " +
                 status.m_last_refusal->m_text;
    }
    for (const std::string& target : status.m_warming_up) {
        notes += (notes.empty() ? "" : "; ") + target + " warms up";
    }
    return notes;
}

std::string member_counts(const node_status& status)
{
    const auto alive = std::ranges::count(status.m_members, "alive", &peer_status::m_state);
    return std::to_string(alive) + "/" + std::to_string(status.m_members.size());
}

std::string seconds_text(std::optional<double> seconds)
{
    return seconds ? std::to_string(std::lround(*seconds)) + " s" : "-";
}

int run_status(const status_options& options)
{
    const std::vector<node_address> nodes = nodes_to_ask(options);
    if (options.m_common.m_json) {
        return print_pages(fetch_all(nodes, "/status", answer_limit));
    }
    text_table table({"NODE", "ADDRESS", "FAILURE DOMAIN", "VERSION", "IN FORCE", "AGE", "SOURCE",
                      "ALIVE", "UP", "NOTES"});
    std::size_t answered = 0;
    for (const node_report& report : ask_status(fetch_all, nodes, answer_limit)) {
        if (!report.m_status) {
            table.add({"-", to_string(report.m_address), "-", "-", "-", "-", "-", "-", "-",
                       report.m_why.m_text});
            continue;
        }
        const node_status& status = *report.m_status;
        ++answered;
        table.add({status.m_node, to_string(report.m_address), status.m_failure_domain,
                   status.m_version == 0 ? "none" : std::to_string(status.m_version),
                   seconds_text(status.m_in_force_s), seconds_text(status.m_config_age_s),
                   status.m_source_state, member_counts(status), seconds_text(status.m_uptime_s),
                   notes_of(status)});
    }
    std::cout << table.str();
    std::cout << answered << " of " << count_of(nodes.size(), "node") << " answered\n";
    return exit_code_for(nodes.size(), answered);
}

int run_latency(const status_options& options)
{
    const std::vector<admin_answer> answers =
        fetch_all(nodes_to_ask(options), "/latency", answer_limit);
    if (options.m_common.m_json) {
        return print_pages(answers);
    }
    std::size_t answered = 0;
    for (const admin_answer& answer : answers) {
        reason why = answer.m_why;
        const auto all = answer.m_body ? parse_latency(*answer.m_body, why) : std::nullopt;
        std::cout << "node " << to_string(answer.m_node) << '\n';
        if (!all) {
            std::cout << "  " << why.m_text << '\n';
            continue;
        }
        ++answered;
        for (const latency_series& series : *all) {
            std::cout << draw(series);
        }
        if (all->empty()) {
            std::cout << "  no requests yet\n";
        }
    }
    return exit_code_for(answers.size(), answered);
}

} // namespace

void add_status_command(CLI::App& app, int& exit_code)
{
    auto options = std::make_shared<status_options>();
    CLI::App* command = app.add_subcommand("status", "Show what nodes have in force");
    add_node_options(*command, options->m_common);
    command->add_flag("--members", options->m_members,
                      "Also ask the live members that the nodes know");
    command->add_flag("--latency", options->m_latency,
                      "Draw the latency histograms per account and class instead");
    command->footer(
        "Exit codes: 0 all nodes answered, 1 some did not, 2 none did or wrong usage.\n\n"
        "Examples:\n"
        "  pomelohead status --node 127.0.1.1 --node 127.0.1.2\n"
        "  pomelohead status --node 127.0.1.1 --members\n"
        "  pomelohead status --node 127.0.1.1 --latency\n"
        "  pomelohead status --node 127.0.1.1 --json");
    command->callback([options, &exit_code] {
        exit_code = options->m_latency ? run_latency(*options) : run_status(*options);
    });
}

} // namespace pomelohead::cli
