// Requests that crash the targets that run them.
//
// When a target's process ends with requests in flight, any of them may be the
// cause, so each one's fingerprint (fingerprint.h) is marked with that crash:
//
//     no blame            runs as usual
//     blamed for a crash  runs apart: alone on a target that runs nothing else;
//                         one whole answer there clears it
//     convicted           refused, until the entry expires or is released
//
// Convicted are those blamed for two crashes if they were alone in one of them,
// or are the only ones blamed for both. So one crashing request sent again kills
// two targets, and a busy innocent one beside two different crashes is not
// refused but runs apart and is cleared.
//
//     quarantine watch({});
//     watch.crashed("rota-1/7/1", {f1, f2}, now);   // both run apart now
//     watch.ran_well(f2, now);                      // f2 is cleared
//     watch.check(f1, now);                         // verdict::apart
//     other.merge(watch.digest(now), now);          // the word spreads
//
// Marks are facts about one crash each, and merge as sets: in any order, any
// number of times, with the same result. A cleared mark stays cleared. A mark's
// time is fixed when a node first hears of it; repeats do not prolong it.
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace pomelohead::outcome {

/// What may be done with a request.
enum class quarantine_verdict {
    run,    ///< nothing is known against it
    apart,  ///< only alone on a target that runs nothing else
    refuse, ///< not run, on any target
};

[[nodiscard]] std::string_view to_string(quarantine_verdict value); ///< "run", "apart", "refuse"

/// One request's part in one crash.
struct crash_mark {
    std::string m_fingerprint;
    std::string m_crash;           ///< unique for each crash: target, owner's incarnation, number
    bool m_sole_in_flight = false; ///< nothing else was in flight on the target
    bool m_cleared = false;        ///< it has run well alone since, or was released
    milliseconds m_left{};         ///< until it expires

    bool operator==(const crash_mark&) const = default;
};

/// One fingerprint's standing, for the admin page.
struct quarantine_status {
    std::string m_fingerprint;
    quarantine_verdict m_verdict = quarantine_verdict::run;
    std::vector<std::string> m_crashes; ///< those that it is blamed for
    milliseconds m_left{};              ///< until the last of its marks expires

    bool operator==(const quarantine_status&) const = default;
};

struct quarantine_options {
    duration m_lifetime = std::chrono::minutes(10); ///< of a mark
    /// A mark heard of with less time left is not taken: two nodes whose clocks
    /// run a little apart would otherwise keep it alive between them.
    duration m_min_left = std::chrono::seconds(10);
    std::size_t m_max_marks = 1'000; ///< the oldest go first

    bool operator==(const quarantine_options&) const = default;
};

/// One node's knowledge of crashes.
class quarantine {
public:
    explicit quarantine(quarantine_options options) : m_options(options) {}

    /// What may be done with a request of this fingerprint.
    [[nodiscard]] quarantine_verdict check(const std::string& fingerprint, time_point now) const;

    /// A target ended with these requests in flight. `crash` names the event
    /// uniquely in the mesh; telling the same one again changes nothing.
    void crashed(const std::string& crash, const std::vector<std::string>& in_flight,
                 time_point now);

    /// A request of this fingerprint was answered whole by a target that ran
    /// nothing else: its marks so far are cleared. False if there are none.
    bool ran_well(const std::string& fingerprint, time_point now);

    /// The operator's release: clears all marks. False if there are none.
    bool release(const std::string& fingerprint, time_point now);

    /// All marks, the youngest first, at most `limit`.
    [[nodiscard]] std::vector<crash_mark> digest(time_point now, std::size_t limit = 1'000) const;

    /// Takes in another node's marks. Returns whether anything was new, so that
    /// it is worth passing on.
    bool merge(const std::vector<crash_mark>& marks, time_point now);

    /// Every fingerprint with a blame, sorted.
    [[nodiscard]] std::vector<quarantine_status> list(time_point now) const;

    void expire(time_point now);

private:
    struct key {
        std::string m_fingerprint;
        std::string m_crash;

        bool operator<(const key& other) const
        {
            return std::tie(m_fingerprint, m_crash) < std::tie(other.m_fingerprint, other.m_crash);
        }
    };
    struct mark {
        bool m_sole_in_flight = false;
        bool m_cleared = false;
        time_point m_expires{};
    };

    /// The crashes that a fingerprint is blamed for now.
    [[nodiscard]] std::vector<std::string> active_crashes(const std::string& fingerprint,
                                                          time_point now) const;
    [[nodiscard]] bool is_only_common_suspect(const std::vector<std::string>& crashes,
                                              time_point now) const;
    void evict_oldest();

    quarantine_options m_options;
    std::map<key, mark> m_marks;
};

} // namespace pomelohead::outcome
