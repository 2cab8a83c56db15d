#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app{"Configuration distribution for a service mesh"};
    app.set_version_flag("--version", std::string("pomelohead ") + POMELOHEAD_VERSION);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
