#include "pomelohead/cli/console.h"
#include "pomelohead/cli/explain_command.h"
#include "pomelohead/cli/node_command.h"
#include "pomelohead/cli/sheet_command.h"
#include "pomelohead/cli/status_command.h"
#include "pomelohead/cli/trace_command.h"
#include "pomelohead/cli/wait_command.h"

#include <CLI/CLI.hpp>

#include <string_view>

int main(int argc, char** argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "node") {
        pomelohead::cli::hold_signals();
    }
    CLI::App app{"Configuration distribution for a service mesh"};
    app.set_version_flag("--version", std::string("pomelohead ") + POMELOHEAD_VERSION);
    app.require_subcommand(1);
    int exit_code = pomelohead::cli::exit_good;
    pomelohead::cli::add_node_command(app, exit_code);
    pomelohead::cli::add_sheet_command(app, exit_code);
    pomelohead::cli::add_status_command(app, exit_code);
    pomelohead::cli::add_wait_command(app, exit_code);
    pomelohead::cli::add_explain_command(app, exit_code);
    pomelohead::cli::add_trace_command(app, exit_code);
    app.footer(
        "Exit codes: 0 good, 1 as each command says, 2 wrong usage or nothing to work on.\n\n"
        "Examples:\n"
        "  pomelohead sheet check examples/gwynedd.csv\n"
        "  pomelohead wait --version 7 --timeout 9s --node 127.0.1.1 --members\n"
        "  pomelohead status --node 127.0.1.1 --members");
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? pomelohead::cli::exit_good : pomelohead::cli::exit_unusable;
    }
    return exit_code;
}
