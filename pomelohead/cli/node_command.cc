#include "pomelohead/cli/node_command.h"

#include "pomelohead/cli/console.h"
#include "pomelohead/node/node.h"
#include "pomelohead/settings/policy_knobs.h"
#include "pomelohead/telemetry/log.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <memory>

namespace pomelohead::cli {
namespace {

constexpr std::size_t max_settings_bytes = 1'000'000;

struct node_arguments {
    std::string m_settings;
    bool m_check = false;
    bool m_show_schema = false;
    bool m_show_policy = false;
};

log_level level_of(const std::string& name)
{
    if (name == "debug") {
        return log_level::debug;
    }
    if (name == "warning") {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

void show_policy()
{
    for (const settings::policy_knob& knob : settings::policy_knobs()) {
        std::cout << knob.m_name << " = " << knob.m_default << "  (" << knob.m_least << " to "
                  << knob.m_most << "): " << knob.m_text << '\n';
    }
}

int run_node(settings::node_settings settings)
{
    init_logging(level_of(settings.m_log_level), settings.m_node);
    boost::asio::io_context& io = install_fiber_scheduler();
    node::node n(std::move(settings), io);
    reason why;
    if (!n.start(why)) {
        std::cerr << "pomelohead node: " << why.m_text << '\n';
        // Half-started parts have fibers that only a whole start could stop in order.
        std::_Exit(exit_found);
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code error, int) {
        if (!error) {
            n.stop();
        }
    });
    n.wait();
    signals.cancel();
    return exit_good;
}

int run(const node_arguments& arguments)
{
    if (arguments.m_show_schema) {
        std::cout << settings::settings_schema() << '\n';
        return exit_good;
    }
    if (arguments.m_show_policy) {
        show_policy();
        return exit_good;
    }
    reason why;
    const auto text = read_file(arguments.m_settings, max_settings_bytes, why);
    if (!text) {
        std::cerr << "pomelohead node: " << why.m_text << '\n';
        return exit_unusable;
    }
    std::vector<settings::setting_fault> faults;
    const auto settings = settings::parse_settings(*text, faults);
    for (const settings::setting_fault& fault : faults) {
        std::cerr << arguments.m_settings << ": " << to_string(fault) << '\n';
    }
    if (!settings) {
        return exit_found;
    }
    if (arguments.m_check) {
        std::cout << arguments.m_settings << ": no faults\n";
        return exit_good;
    }
    return run_node(*settings);
}

} // namespace

void add_node_command(CLI::App& app, int& exit_code)
{
    auto* command = app.add_subcommand("node", "Run the node of this host until it is stopped");
    auto arguments = std::make_shared<node_arguments>();
    command->add_option("--settings", arguments->m_settings, "the settings file (JSON)");
    command->add_flag("--check-settings", arguments->m_check,
                      "check the settings, name every fault, and exit");
    command->add_flag("--schema", arguments->m_show_schema, "print the settings' JSON schema");
    command->add_flag("--policy", arguments->m_show_policy,
                      "print the policy settings with defaults and ranges");
    command->footer("A SIGTERM begins a graceful stop: requests in flight finish first.\n"
                    "Exit codes: 0 stopped as asked, or no faults; 1 faults in the settings, or a\n"
                    "port cannot be opened; 2 wrong usage or an unreadable file.\n\n"
                    "Examples:\n"
                    "  pomelohead node --settings node.json --check-settings\n"
                    "  pomelohead node --settings node.json 2>node.log");
    command->callback([arguments, &exit_code] { exit_code = run(*arguments); });
}

} // namespace pomelohead::cli
