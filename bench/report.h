// Figures as JSON lines, with their bounds.
//
//     report out("crest", seed);
//     out.at_most("refusal_max", "policy", 31.0, "ms", 50.0);
//     return out.exit_code();
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace pomelohead::bench {

/// Prints one JSON object per figure and remembers whether a bound was missed.
class report {
public:
    report(std::string bench, std::uint64_t seed) : m_bench(std::move(bench)), m_seed(seed) {}

    /// A figure without a bound.
    void note(const std::string& measure, const std::string& variant, double value,
              const std::string& unit);
    void at_most(const std::string& measure, const std::string& variant, double value,
                 const std::string& unit, double bound);
    void at_least(const std::string& measure, const std::string& variant, double value,
                  const std::string& unit, double bound);

    /// 1 where a bound was missed.
    [[nodiscard]] int exit_code() const { return m_missed ? 1 : 0; }

private:
    void print(const std::string& measure, const std::string& variant, double value,
               const std::string& unit, const std::string& bound);

    std::string m_bench;
    std::uint64_t m_seed;
    bool m_missed = false;
};

} // namespace pomelohead::bench
