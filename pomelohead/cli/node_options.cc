#include "pomelohead/cli/node_options.h"

#include <CLI/CLI.hpp>

#include <map>

namespace pomelohead::cli {
namespace {

std::string check_node(const std::string& text)
{
    reason why;
    return parse_node_address(text, why) ? std::string() : why.m_text;
}

} // namespace

void add_node_options(CLI::App& command, node_options& options)
{
    command
        .add_option("--node", options.m_nodes,
                    "A node's address; may be repeated (default: 127.0.0.1)")
        ->check(CLI::Validator(check_node, "IP[:PORT]"))
        ->allow_extra_args(false);
    command.add_flag("--json", options.m_json, "Print one JSON object");
}

std::vector<node_address> nodes_of(const node_options& options)
{
    std::vector<node_address> nodes;
    for (const std::string& text : options.m_nodes) {
        reason why;
        if (std::optional<node_address> node = parse_node_address(text, why)) {
            nodes.push_back(std::move(*node));
        }
    }
    if (nodes.empty()) {
        nodes.emplace_back();
    }
    return nodes;
}

CLI::Validator duration_check()
{
    constexpr double milliseconds_per_second = 1'000;
    constexpr double milliseconds_per_minute = 60'000;
    return CLI::AsNumberWithUnit(std::map<std::string, double>{{"ms", 1},
                                                               {"s", milliseconds_per_second},
                                                               {"m", milliseconds_per_minute}},
                                 CLI::AsNumberWithUnit::UNIT_REQUIRED, "TIME");
}

} // namespace pomelohead::cli
