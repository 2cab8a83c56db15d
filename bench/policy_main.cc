// Measures the policy's decisions on virtual time: policy SCENARIO [--seed N] [--quick].
// Prints one JSON object per figure; exits with 1 where a bound is missed.
#include "bench/scenarios.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <map>

int main(int argc, char** argv)
{
    using namespace pomelohead::bench;
    const std::map<std::string, std::function<int(const run_options&)>> scenarios = {
        {"head_of_line", head_of_line},
        {"slow_targets", slow_targets},
        {"crest", crest},
        {"ablations", ablations},
    };
    CLI::App app("Measures the policy's decisions on virtual time.");
    std::string name;
    run_options options;
    app.add_option("scenario", name)->required()->check(CLI::IsMember(scenarios));
    app.add_option("--seed", options.m_seed);
    app.add_flag("--quick", options.m_quick);
    CLI11_PARSE(app, argc, argv);
    return scenarios.at(name)(options);
}
