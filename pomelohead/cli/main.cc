#include "pomelohead/cli/console.h"
#include "pomelohead/cli/node_command.h"
#include "pomelohead/cli/sheet_command.h"

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app{"Configuration distribution for a service mesh"};
    app.set_version_flag("--version", std::string("pomelohead ") + POMELOHEAD_VERSION);
    app.require_subcommand(1);
    int exit_code = pomelohead::cli::exit_good;
    pomelohead::cli::add_node_command(app, exit_code);
    pomelohead::cli::add_sheet_command(app, exit_code);
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? pomelohead::cli::exit_good : pomelohead::cli::exit_unusable;
    }
    return exit_code;
}
