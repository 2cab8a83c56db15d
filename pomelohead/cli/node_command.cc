#include "pomelohead/cli/node_command.h"

#include "platform/adapter.h"
#include "platform/settings.h"

#include "pomelohead/cli/console.h"
#include "pomelohead/node/node.h"
#include "pomelohead/node/port_wait.h"
#include "pomelohead/runtime/heap.h"
#include "pomelohead/settings/policy_knobs.h"
#include "pomelohead/telemetry/log.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include <array>
#include <csignal>
#include <iostream>
#include <memory>

namespace pomelohead::cli {
namespace {

constexpr std::size_t max_settings_bytes = 1'000'000;

constexpr std::array stop_signals = {SIGTERM, SIGINT};
constexpr int reload_signal = SIGHUP;

sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, reload_signal);
    for (const int signal : stop_signals) {
        sigaddset(&signals, signal);
    }
    return signals;
}

void release_signals()
{
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

struct node_arguments {
    std::string m_settings;
    bool m_on_platform = false;
    std::string m_policy_file;
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

// The settings, and in `faults` what is wrong with them; nothing where a node cannot run with them.
std::optional<settings::node_settings> read_settings(const node_arguments& arguments,
                                                     const std::string& path,
                                                     std::vector<settings::setting_fault>& faults,
                                                     reason& why)
{
    const auto text = read_file(path, max_settings_bytes, why);
    if (!text) {
        std::cerr << "pomelohead node: " << why.m_text << '\n';
        return std::nullopt;
    }
    auto settings = arguments.m_on_platform ? platform::parse_settings(*text, faults)
                                            : settings::parse_settings(*text, faults);
    if (settings && !arguments.m_policy_file.empty()) {
        const auto policy = read_file(arguments.m_policy_file, max_settings_bytes, why);
        if (!policy) {
            std::cerr << "pomelohead node: " << why.m_text << '\n';
            return std::nullopt;
        }
        const std::size_t before = faults.size();
        settings::parse_policy(*policy, *settings, faults);
        if (faults.size() > before) {
            settings.reset();
        }
    }
    for (const settings::setting_fault& fault : faults) {
        std::cerr << path << ": " << to_string(fault) << '\n';
    }
    why = {reason_code::invalid, path + " has faults"};
    return settings;
}

void log_ignored(const std::vector<settings::setting_fault>& faults)
{
    for (const settings::setting_fault& fault : faults) {
        log_event(log_level::warning, "setting_ignored",
                  {{"field", fault.m_path}, {"value", fault.m_value}, {"why", fault.m_allowed}});
    }
}

// Reads the settings file again at each SIGHUP, and every few seconds, since it may change
// without a signal. A faulty file changes nothing.
class settings_watch {
public:
    settings_watch(boost::asio::signal_set& signals, node::node& n, const node_arguments& arguments,
                   std::string path)
        : m_node(n), m_arguments(arguments), m_path(std::move(path)), m_signals(signals),
          m_timer(n.timers().every(reload_period, [this] { reload(); }))
    {
        wait_for_signal();
    }

    void stop()
    {
        m_signals.cancel();
        m_timer.cancel();
    }

private:
    static constexpr duration reload_period = std::chrono::seconds(2);

    void wait_for_signal()
    {
        m_signals.async_wait([this](boost::system::error_code error, int) {
            if (!error) {
                log_event(log_level::info, "reload_asked");
                reload();
                wait_for_signal();
            }
        });
    }

    void reload()
    {
        reason why;
        const auto text = read_file(m_path, max_settings_bytes, why);
        if (!text || *text == m_last_text) {
            return;
        }
        m_last_text = *text;
        std::vector<settings::setting_fault> faults;
        if (const auto changed = read_settings(m_arguments, m_path, faults, why)) {
            log_ignored(faults);
            m_node.reload(*changed);
        }
        else {
            log_event(log_level::warning, "settings_refused", {{"why", why.m_text}});
        }
    }

    node::node& m_node;
    const node_arguments& m_arguments;
    std::string m_path;
    std::string m_last_text;
    boost::asio::signal_set& m_signals;
    timer_subscription m_timer;
};

int run_node(settings::node_settings settings, const node::adapter& parts,
             const node_arguments& arguments, const std::string& path,
             const std::vector<settings::setting_fault>& faults)
{
    limit_heap_retention();
    init_logging(level_of(settings.m_log_level), settings.m_node);
    log_unhandled_exceptions();
    log_ignored(faults);
    boost::asio::io_context& io = install_fiber_scheduler();
    boost::asio::signal_set stops(io, stop_signals[0], stop_signals[1]);
    boost::asio::signal_set reload_signals(io, reload_signal);
    release_signals();
    node::node* running = nullptr;
    bool is_stop_asked = false;
    stops.async_wait([&](boost::system::error_code error, int signal) {
        if (!error) {
            log_event(log_level::info, "stop_asked", {{"signal", signal}});
            is_stop_asked = true;
            if (running != nullptr) {
                running->stop();
            }
        }
    });
    reason why;
    const node::port_wait_result ports = node::wait_for_ports(
        io, node::ports_of(settings), node::port_wait_limit_of(settings),
        [&is_stop_asked] { return is_stop_asked; }, why);
    if (ports == node::port_wait_result::cancelled) {
        log_event(log_level::info, "stopped");
        return exit_good;
    }
    node::node n(std::move(settings), io, parts);
    if (ports == node::port_wait_result::held || !n.start(why)) {
        log_event(log_level::error, "start_failed", {{"why", why.m_text}});
        std::cerr << "pomelohead node: " << why.m_text << '\n';
        // Half-started parts have fibers that only a whole start could stop in order.
        std::_Exit(exit_found);
    }
    running = &n;
    if (is_stop_asked) {
        n.stop();
    }
    settings_watch reloads(reload_signals, n, arguments, path);
    n.wait();
    stops.cancel();
    reloads.stop();
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
    const std::string path = arguments.m_settings.empty() && arguments.m_on_platform
                                 ? platform::settings_path()
                                 : arguments.m_settings;
    reason why;
    std::vector<settings::setting_fault> faults;
    auto settings = read_settings(arguments, path, faults, why);
    if (!settings) {
        return why.m_code == reason_code::invalid ? exit_found : exit_unusable;
    }
    if (arguments.m_check && !faults.empty()) {
        return exit_found;
    }
    if (arguments.m_check) {
        std::cout << path << ": no faults\n";
        return exit_good;
    }
    const int code = run_node(std::move(*settings),
                              arguments.m_on_platform ? platform::make_adapter() : node::adapter{},
                              arguments, path, faults);
    // Everything of the node has ended. At a normal exit log4cplus joins the threads of its
    // pool, which does not return on machines that run one thread at a time.
    std::cout.flush();
    std::fflush(stdout);
    std::_Exit(code);
}

} // namespace

void hold_signals()
{
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A reader of the log that ends shows as a failed write.
    std::signal(SIGPIPE, SIG_IGN);
}

void add_node_command(CLI::App& app, int& exit_code)
{
    auto* command = app.add_subcommand("node", "Run the node of this host until it is stopped");
    auto arguments = std::make_shared<node_arguments>();
    command->add_option("--settings", arguments->m_settings, "the settings file (JSON)");
    command->add_flag("--platform", arguments->m_on_platform,
                      "run on the users' platform, with its settings file and its store");
    command->add_option("--policy-file", arguments->m_policy_file,
                        "policy settings (JSON) beside the settings file");
    command->add_flag("--check-settings", arguments->m_check,
                      "check the settings, name every fault, and exit");
    command->add_flag("--schema", arguments->m_show_schema, "print the settings' JSON schema");
    command->add_flag("--policy", arguments->m_show_policy,
                      "print the policy settings with defaults and ranges");
    command->footer(
        "A SIGTERM begins a graceful stop: requests in flight finish first.\n"
        "Exit codes: 0 stopped as asked, or no faults; 1 faults in the settings, or a\n"
        "port stays held for longer than a stop takes; 2 wrong usage or an unreadable file.\n\n"
        "Examples:\n"
        "  pomelohead node --settings node.json --check-settings\n"
        "  pomelohead node --settings node.json 2>node.log");
    command->callback([arguments, &exit_code] { exit_code = run(*arguments); });
}

} // namespace pomelohead::cli
