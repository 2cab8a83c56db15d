#include "pomelohead/cli/trace_command.h"

#include "pomelohead/cli/console.h"
#include "pomelohead/cli/trace.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <memory>

namespace pomelohead::cli {
namespace {

constexpr double longest_context_ms = 600'000;

struct trace_options {
    std::string m_id;
    std::vector<std::string> m_logs;
    double m_context_ms = 0;
};

bool read_all(request_trace& trace, const std::vector<std::string>& logs)
{
    for (const std::string& path : logs) {
        std::ifstream log(path);
        if (!log) {
            std::cerr << "pomelohead trace: cannot read " << path << '\n';
            return false;
        }
        trace.read(log);
    }
    return true;
}

int run_trace(const trace_options& options)
{
    request_trace trace(options.m_id,
                        milliseconds(static_cast<std::int64_t>(options.m_context_ms)));
    if (!read_all(trace, options.m_logs)) {
        return exit_unusable;
    }
    if (!trace.is_found()) {
        std::cout << "no line names request " << options.m_id << '\n';
        return exit_found;
    }
    trace.finish_reading();
    if (options.m_context_ms > 0 && !read_all(trace, options.m_logs)) {
        return exit_unusable;
    }
    std::cout << to_text(trace.lines());
    return exit_good;
}

} // namespace

void add_trace_command(CLI::App& app, int& exit_code)
{
    auto options = std::make_shared<trace_options>();
    CLI::App* command = app.add_subcommand("trace", "Show what the nodes' logs say of one request");
    command->add_option("id", options->m_id, "The request's id")->required();
    command->add_option("logs", options->m_logs, "Log files of nodes")->required();
    command
        ->add_option("--context", options->m_context_ms,
                     "Also what these nodes logged this long before and after, in ms")
        ->check(CLI::Range(0.0, longest_context_ms));
    command->footer("Lines are ordered by the nodes' clocks, which may differ a little. Lines\n"
                    "around the request are indented.\n\n"
                    "Exit codes: 0 found, 1 no line names the request, 2 wrong usage or an\n"
                    "unreadable file.\n\n"
                    "Examples:\n"
                    "  pomelohead trace 80ff1a9c0de8ec9a logs/*.log\n"
                    "  pomelohead trace 80ff1a9c0de8ec9a logs/*.log --context 2000");
    command->callback([options, &exit_code] { exit_code = run_trace(*options); });
}

} // namespace pomelohead::cli
