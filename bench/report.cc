#include "bench/report.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <iostream>

namespace pomelohead::bench {
namespace {

std::string bound_text(const char* relation, double bound)
{
    return relation + nlohmann::json(bound).dump();
}

double rounded(double value)
{
    constexpr double steps = 10'000;
    return std::round(value * steps) / steps;
}

} // namespace

void report::print(const std::string& measure, const std::string& variant, double value,
                   const std::string& unit, const std::string& bound)
{
    nlohmann::ordered_json line = {
        {"bench", m_bench}, {"measure", measure}, {"variant", variant}, {"value", rounded(value)},
        {"unit", unit},     {"bound", nullptr},   {"seed", m_seed}};
    if (!bound.empty()) {
        line["bound"] = bound;
    }
    std::cout << line.dump() << '\n';
}

void report::note(const std::string& measure, const std::string& variant, double value,
                  const std::string& unit)
{
    print(measure, variant, value, unit, "");
}

void report::at_most(const std::string& measure, const std::string& variant, double value,
                     const std::string& unit, double bound)
{
    m_missed = m_missed || !(value <= bound);
    print(measure, variant, value, unit, bound_text("<= ", bound));
}

void report::at_least(const std::string& measure, const std::string& variant, double value,
                      const std::string& unit, double bound)
{
    m_missed = m_missed || !(value >= bound);
    print(measure, variant, value, unit, bound_text(">= ", bound));
}

} // namespace pomelohead::bench
