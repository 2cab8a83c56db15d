// A distribution of latencies in buckets whose bounds grow by a fixed factor.
//
//     latency_histogram latencies;
//     latencies.record(3ms);
//     milliseconds_value p99 = latencies.quantile_ms(0.99);
//
// A quantile is exact to one bucket: the reported value is the bucket's upper
// bound, at most a quarter above the true one.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <chrono>
#include <cstdint>

namespace pomelohead {

/// Counts latencies from 50 microseconds to beyond an hour.
class latency_histogram {
public:
    static constexpr std::size_t bucket_count = 84;

    /// Adds one latency.
    void record(std::chrono::nanoseconds latency);

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum_ms() const;
    [[nodiscard]] double max_ms() const;

    /// The latency in milliseconds that a share `q` (0 to 1) of all does not
    /// exceed, to one bucket; 0 where nothing was recorded.
    [[nodiscard]] double quantile_ms(double q) const;

    /// The upper bound of bucket `index` in milliseconds; the last has none (infinity).
    [[nodiscard]] static double upper_bound_ms(std::size_t index);
    [[nodiscard]] std::uint64_t bucket(std::size_t index) const { return m_buckets[index]; }

private:
    boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max>>
        m_summary;
    std::array<std::uint64_t, bucket_count> m_buckets{};
};

} // namespace pomelohead
