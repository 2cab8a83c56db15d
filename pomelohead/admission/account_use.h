// What each account has recently used of one target, for a fair share among them.
//
// Use is run time, forgotten exponentially. Short and long work are counted apart:
// an account's uploads do not put its short requests behind those of others.
//
//     account_use use(1s);
//     use.add("gwynedd", config::work_class::short_work, 20ms, now);
//     use.of("gwynedd", config::work_class::short_work) <
//         use.of("quebec", config::work_class::short_work);
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/timer_service.h"

#include <array>
#include <string>
#include <unordered_map>

namespace pomelohead::admission {

/// Decaying use per account and class of work.
class account_use {
public:
    explicit account_use(duration window) : m_window(window) {}

    /// Adds run time; called when a request starts, with the run time expected.
    void add(const std::string& account, config::work_class work, duration run_time,
             time_point now);

    /// Recent use in seconds. Comparable between accounts at one time only.
    [[nodiscard]] double of(const std::string& account, config::work_class work) const;

    /// Whether an account has had less than `floor` of the recent use, divided
    /// further where there are many accounts.
    [[nodiscard]] bool is_below_floor(const std::string& account, config::work_class work,
                                      double floor) const;

private:
    struct class_use {
        std::unordered_map<std::string, double> m_use_s; // scaled by m_scale
        double m_total_s = 0;
    };
    void rescale(time_point now);

    duration m_window;
    time_point m_epoch{};
    double m_scale = 1; // e^(time since m_epoch / window): newer use weighs more
    std::array<class_use, 2> m_classes;
};

} // namespace pomelohead::admission
