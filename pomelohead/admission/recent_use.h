// Recent use of one target by each account or route, the basis of fair sharing.
//
// Use is run time with exponential decay. Short and long work are counted separately, so
// that an account's uploads do not delay its short requests behind those of others.
//
//     recent_use use(1s);
//     use.add("gwynedd", config::work_class::short_work, 20ms, now);
//     use.use_seconds("gwynedd", config::work_class::short_work) <
//         use.use_seconds("quebec", config::work_class::short_work);
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/timer_service.h"

#include <array>
#include <string>
#include <unordered_map>

namespace pomelohead::admission {

/// Exponentially decaying use per key (an account or a route) and class of work.
class recent_use {
public:
    explicit recent_use(duration window) : m_window(window) {}

    /// Adds run time; called with the expected run time when a request starts.
    void add(const std::string& key, config::work_class work, duration run_time, time_point now);

    /// Recent use in seconds, scaled by a factor common to all keys: only values of the same
    /// moment are comparable.
    [[nodiscard]] double use_seconds(const std::string& key, config::work_class work) const;

    /// The key's fraction of the recent use of all keys, 0 to 1.
    [[nodiscard]] double share_of(const std::string& key, config::work_class work) const;

    /// Whether the key's fraction of the recent use is below `floor`. With many keys the
    /// floor is lowered, so that the floors of all keys together are at most one half.
    [[nodiscard]] bool is_below_floor(const std::string& key, config::work_class work,
                                      double floor) const;

private:
    struct class_use {
        std::unordered_map<std::string, double> m_scaled_use_s; // seconds, scaled by m_scale
        double m_total_s = 0;
    };
    void rescale(time_point now);

    duration m_window;
    time_point m_scale_start{};
    double m_scale = 1; // e^(time since m_scale_start / window), the weight of new use
    std::array<class_use, 2> m_classes;
};

} // namespace pomelohead::admission
