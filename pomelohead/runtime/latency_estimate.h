// Running estimates of how long something takes, robust against outliers.
//
// Both estimates work on the logarithm of the duration, so that a target that
// slows down ten times and one that speeds up ten times are noticed equally fast.
// They hold a few numbers each and never allocate.
//
//     typical_duration run_time;
//     run_time.add(finished - started);
//     if (run_time.value() > time_left) { ... }
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>

namespace pomelohead {

/// The geometric middle of recent durations. One outlier moves it by at most
/// a fixed factor.
class typical_duration {
public:
    /// `gain` is the weight of a new sample, from 0 to 1.
    explicit typical_duration(double gain = default_gain) : m_gain(gain) {}

    void add(duration sample);

    /// Zero while no sample has been added.
    [[nodiscard]] duration value() const;
    [[nodiscard]] std::uint64_t count() const { return m_count; }

    static constexpr double default_gain = 0.1;

private:
    double m_gain;
    double m_log_s = 0;
    std::uint64_t m_count = 0;
};

/// A quantile of recent durations.
class duration_quantile {
public:
    /// `quantile` is between 0 and 1, for instance 0.99.
    explicit duration_quantile(double quantile) : m_quantile(quantile) {}

    void add(duration sample);

    /// Zero while no sample has been added.
    [[nodiscard]] duration value() const;
    [[nodiscard]] std::uint64_t count() const { return m_count; }

private:
    double m_quantile;
    double m_log_s = 0;
    std::uint64_t m_count = 0;
};

} // namespace pomelohead
