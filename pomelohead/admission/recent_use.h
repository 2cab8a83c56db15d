// What each account or route has recently used of one target, for a fair share among
// them.
//
// Use is run time, forgotten exponentially. Short and long work are counted apart:
// an account's uploads do not put its short requests behind those of others.
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

/// Decaying use per key, an account or a route, and class of work.
class recent_use {
public:
    explicit recent_use(duration window) : m_window(window) {}

    /// Adds run time; called when a request starts, with the run time expected.
    void add(const std::string& key, config::work_class work, duration run_time, time_point now);

    /// Recent use in seconds. Comparable between keys at one time only.
    [[nodiscard]] double use_seconds(const std::string& key, config::work_class work) const;

    /// The part of the recent use of all keys that was the key's, 0 to 1.
    [[nodiscard]] double share_of(const std::string& key, config::work_class work) const;

    /// Whether a key has had less than `floor` of the recent use, divided further where
    /// there are many keys.
    [[nodiscard]] bool is_below_floor(const std::string& key, config::work_class work,
                                      double floor) const;

private:
    struct class_use {
        std::unordered_map<std::string, double> m_scaled_use_s; // scaled by m_scale
        double m_total_s = 0;
    };
    void rescale(time_point now);

    duration m_window;
    time_point m_scale_start{};
    double m_scale = 1; // e^(time since m_scale_start / window): newer use weighs more
    std::array<class_use, 2> m_classes;
};

} // namespace pomelohead::admission
