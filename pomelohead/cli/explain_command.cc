#include "pomelohead/cli/explain_command.h"

#include "pomelohead/cli/console.h"
#include "pomelohead/cli/node_options.h"
#include "pomelohead/cli/text_table.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <memory>

namespace pomelohead::cli {
namespace {

using json = nlohmann::ordered_json;

// The longest that the node may take to answer.
constexpr std::chrono::milliseconds answer_limit{2'000};

struct explain_options {
    node_options m_common;
    std::string m_method;
    std::string m_path;
    std::string m_host;
};

// A field's value for a table; "-" where it is absent.
std::string cell(const json& value, const char* field)
{
    const auto it = value.find(field);
    if (it == value.end() || it->is_null()) {
        return "-";
    }
    if (it->is_boolean()) {
        return it->get<bool>() ? "yes" : "no";
    }
    return it->is_string() ? it->get<std::string>() : it->dump();
}

json part(const json& page, const char* field)
{
    const auto it = page.find(field);
    return it == page.end() ? json() : *it;
}

// Whether the node would send the request anywhere.
bool has_choice(const json& page)
{
    for (const json& target : part(page, "targets")) {
        if (cell(target, "chosen") == "yes") {
            return true;
        }
    }
    return false;
}

void print_text(const json& page)
{
    for (const json& domain : part(page, "evacuated_domains")) {
        std::cout << "failure domain " << (domain.is_string() ? domain.get<std::string>() : "-")
                  << " is evacuated: its targets get no new requests\n";
    }
    const json route = part(page, "route");
    if (!route.is_object()) {
        std::cout << "no route: " << cell(page, "why") << '\n';
        return;
    }
    std::cout << "route '" << cell(route, "name") << "' for account " << cell(route, "account")
              << ": service " << cell(page, "service") << ", class " << cell(route, "class")
              << ", idempotent " << cell(route, "idempotent") << ", urgency "
              << cell(route, "urgency") << ", deadline " << cell(route, "deadline_ms") << " ms\n";
    text_table table({"", "TARGET", "HOST", "FAILURE DOMAIN", "DRAINING", "FREE", "QUEUED", "SLOW",
                      "WEIGHT", "WHY"});
    for (const json& target : part(page, "targets")) {
        table.add({cell(target, "chosen") == "yes" ? "->" : "", cell(target, "target"),
                   cell(target, "host"), cell(target, "failure_domain"), cell(target, "draining"),
                   cell(target, "free"), cell(target, "queued"), cell(target, "slow"),
                   cell(target, "weight"), cell(target, "why")});
    }
    std::cout << table.str();
    if (cell(page, "why") != "-") {
        std::cout << cell(page, "why") << '\n';
    }
}

int run_explain(const explain_options& options)
{
    const std::string query =
        "/explain?method=" + percent_encode(options.m_method) +
        "&path=" + percent_encode(options.m_path) +
        (options.m_host.empty() ? "" : "&host=" + percent_encode(options.m_host));
    // One node answers for itself: entries choose independently of one another.
    const std::vector<node_address> node = {nodes_of(options.m_common).front()};
    const admin_answer answer = fetch_all(node, query, answer_limit).front();
    if (!answer.m_body) {
        std::cerr << "pomelohead: " << answer.m_why.m_text << '\n';
        return exit_unusable;
    }
    const json page = json::parse(*answer.m_body, nullptr, false);
    if (!page.is_object()) {
        std::cerr << "pomelohead: " << to_string(node.front()) << " sent no JSON object\n";
        return exit_unusable;
    }
    if (options.m_common.m_json) {
        std::cout << page.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    }
    else {
        print_text(page);
    }
    return has_choice(page) ? exit_good : exit_found;
}

} // namespace

void add_explain_command(CLI::App& app, int& exit_code)
{
    auto options = std::make_shared<explain_options>();
    CLI::App* command = app.add_subcommand(
        "explain", "Say which route and target a node would choose for a request, and why");
    add_node_options(*command, options->m_common);
    command->get_option("--node")->expected(1);
    command->add_option("METHOD", options->m_method, "The request's HTTP method")->required();
    command->add_option("PATH", options->m_path, "The request's path")->required();
    command->add_option("--host", options->m_host,
                        "The request's Host, for routes that are limited to one");
    command->footer("No request is sent to a target. --node is given at most once.\n\n"
                    "Exit codes: 0 a target would be chosen, 1 no route or no usable target,\n"
                    "2 no answer or wrong usage.\n\n"
                    "Examples:\n"
                    "  pomelohead explain --node 127.0.1.1 GET /rota/tonight\n"
                    "  pomelohead explain --node 127.0.1.1 --json POST /rota/swaps");
    command->callback([options, &exit_code] { exit_code = run_explain(*options); });
}

} // namespace pomelohead::cli
