#include "pomelohead/cli/wait_command.h"

#include "pomelohead/cli/console.h"
#include "pomelohead/cli/node_options.h"
#include "pomelohead/cli/version_wait.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <memory>
#include <thread>

namespace pomelohead::cli {
namespace {

using json = nlohmann::ordered_json;

constexpr double longest_wait_ms = 24.0 * 3600.0 * 1000.0;

struct wait_command_options {
    node_options m_common;
    config::version_number m_version = 0;
    double m_timeout_ms = 0;
    bool m_members = false;
};

json to_json(const wait_result& result, config::version_number version)
{
    json nodes = json::array();
    for (const wait_node& node : result.m_nodes) {
        nodes.push_back({{"address", to_string(node.m_address)},
                         {"node", node.m_node},
                         {"version", node.m_version},
                         {"in_force", node.m_in_force},
                         {"why", node.m_why}});
    }
    return {{"version", version},
            {"good", result.m_good},
            {"waited_ms", result.m_waited.count()},
            {"nodes", nodes}};
}

void print_text(const wait_result& result, config::version_number version)
{
    for (const wait_node& node : result.m_nodes) {
        if (!node.m_in_force) {
            std::cout << to_string(node.m_address) << " "
                      << (node.m_node.empty() ? "" : "(" + node.m_node + ") ")
                      << "lacks it: " << node.m_why << '\n';
        }
    }
    const auto have = std::ranges::count(result.m_nodes, true, &wait_node::m_in_force);
    std::cout << "version " << version << " is in force on " << have << " of "
              << count_of(result.m_nodes.size(), "node") << " after " << result.m_waited.count()
              << " ms\n";
}

int run_wait(const wait_command_options& options)
{
    const wait_hooks hooks{.m_fetch = fetch_all,
                           .m_now = [] { return std::chrono::steady_clock::now(); },
                           .m_sleep = [](milliseconds time) { std::this_thread::sleep_for(time); }};
    const wait_result result =
        wait_for_version({.m_version = options.m_version,
                          .m_limit = milliseconds(static_cast<std::int64_t>(options.m_timeout_ms)),
                          .m_nodes = nodes_of(options.m_common),
                          .m_members = options.m_members},
                         hooks);
    if (options.m_common.m_json) {
        std::cout << to_json(result, options.m_version)
                         .dump(2, ' ', false, json::error_handler_t::replace)
                  << '\n';
    }
    else {
        print_text(result, options.m_version);
    }
    return result.m_good ? exit_good : exit_found;
}

} // namespace

void add_wait_command(CLI::App& app, int& exit_code)
{
    auto options = std::make_shared<wait_command_options>();
    CLI::App* command = app.add_subcommand("wait", "Wait until nodes have a version in force");
    command->add_option("--version", options->m_version, "The version's number")
        ->required()
        ->check(CLI::PositiveNumber);
    command->add_option("--timeout", options->m_timeout_ms, "The longest wait: 500ms, 9s or 2m")
        ->required()
        ->transform(duration_check())
        ->check(CLI::Range(0.0, longest_wait_ms));
    add_node_options(*command, options->m_common);
    command->add_flag("--members", options->m_members,
                      "Also wait for the live members that the nodes know");
    command->footer("A later version counts as well: it replaced the one that is waited for.\n\n"
                    "Exit codes: 0 in force on all nodes, 1 not so at the time limit (each node\n"
                    "that lacks it is listed with the reason), 2 wrong usage.\n\n"
                    "Examples:\n"
                    "  pomelohead wait --version 7 --timeout 9s --node 127.0.1.1 --members\n"
                    "  pomelohead wait --version 7 --timeout 9s --node 127.0.1.1 --node 127.0.1.2");
    command->callback([options, &exit_code] { exit_code = run_wait(*options); });
}

} // namespace pomelohead::cli
