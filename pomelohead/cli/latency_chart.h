// Latency histograms drawn with characters.
#pragma once

#include "pomelohead/runtime/reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::cli {

/// One bar's data.
struct latency_bucket {
    std::optional<double> m_upper_ms; ///< absent: no upper bound
    std::uint64_t m_count = 0;        ///< latencies in this bucket alone

    bool operator==(const latency_bucket&) const = default;
};

/// The latencies of one account and class.
struct latency_series {
    std::string m_account;
    std::string m_class;
    std::uint64_t m_count = 0;
    double m_p50_ms = 0;
    double m_p99_ms = 0;
    std::vector<latency_bucket> m_buckets; ///< ascending

    bool operator==(const latency_series&) const = default;
};

/// Reads a node's GET /latency page. Fails with malformed.
[[nodiscard]] std::optional<std::vector<latency_series>> parse_latency(std::string_view json,
                                                                       reason& why);

/// A title line, then one bar for each doubling of the latency from the first to
/// the last one that occurs.
[[nodiscard]] std::string draw(const latency_series& series);

} // namespace pomelohead::cli
