// Quarantine of requests that crash the targets that run them.
//
// When a target's process exits with requests in flight, any of them may be the cause,
// so the fingerprint (fingerprint.h) of each gets a mark for that crash. The verdict on
// a fingerprint depends on its marks that are neither cleared nor expired:
//
//     no mark         runs as usual
//     marked          runs apart: alone on a target that runs nothing else;
//                     one whole answer clears its marks
//     known to crash  refused, until the marks expire or are released
//
// A fingerprint counts as known to crash when it is marked for two crashes and either
// was the only request in flight in one of them, or is the only fingerprint marked for
// both. A crashing request that is resent therefore crashes at most two targets. A
// frequent harmless request that was in flight in two different crashes is cleared by the
// whole answer to another copy of it, which may have been in flight beside others elsewhere.
//
//     quarantine tracker({});
//     tracker.record_crash("rota-1/7/1", {f1, f2}, now);   // both run apart now
//     tracker.record_success(f2, now);                      // f2 is cleared
//     tracker.check(f1, now);                         // verdict::run_alone
//     other.merge(tracker.digest(now), now);          // replicates the marks
//
// A mark describes one crash. Marks merge as sets: in any order and any number of times,
// with the same result. A cleared mark stays cleared. A mark's expiry is fixed when a
// node first receives it; receiving it again does not extend it.
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace pomelohead::outcome {

/// How a request with a given fingerprint may run.
enum class quarantine_verdict {
    run,       ///< no marks: runs as usual
    run_alone, ///< runs only on a target that runs nothing else
    refuse,    ///< must not run on any target
};

[[nodiscard]] std::string_view to_string(quarantine_verdict value); ///< "run", "apart", "refuse"

/// Records that a request was in flight on a target that crashed.
struct crash_mark {
    std::string m_fingerprint;
    std::string m_crash;           ///< unique id of the crash: target, owner's incarnation, number
    bool m_sole_in_flight = false; ///< it was the only request in flight on the target
    bool m_cleared = false;        ///< it has completed since, or was released
    milliseconds m_time_left{};    ///< time until the mark expires

    bool operator==(const crash_mark&) const = default;
};

/// The state of one marked fingerprint, for the admin page.
struct quarantine_status {
    std::string m_fingerprint;
    quarantine_verdict m_verdict = quarantine_verdict::run;
    std::vector<std::string> m_crashes; ///< crashes for which it has an active mark
    milliseconds m_time_left{};         ///< time until the last of its marks expires

    bool operator==(const quarantine_status&) const = default;
};

struct quarantine_options {
    duration m_lifetime = std::chrono::minutes(10); ///< of a mark
    /// A received mark with less time left is ignored. Otherwise two nodes whose clocks
    /// drift apart slightly would keep re-adding it to each other.
    duration m_min_left = std::chrono::seconds(10);
    std::size_t m_max_marks = 1'000; ///< those that expire first are evicted

    bool operator==(const quarantine_options&) const = default;
};

/// One node's replica of the crash marks.
class quarantine {
public:
    explicit quarantine(quarantine_options options) : m_options(options) {}

    /// The verdict for requests with this fingerprint.
    [[nodiscard]] quarantine_verdict check(const std::string& fingerprint, time_point now) const;

    /// Records that a target crashed with these requests in flight. `crash` identifies
    /// the crash uniquely in the mesh; recording it again has no effect.
    void record_crash(const std::string& crash, const std::vector<std::string>& in_flight,
                      time_point now);

    /// Records that a target completed a request with this fingerprint, and clears its marks.
    /// Returns false if there are none.
    bool record_success(const std::string& fingerprint, time_point now);

    /// Clears all marks of a fingerprint at the operator's request. Returns false if there
    /// are none.
    bool release(const std::string& fingerprint, time_point now);

    /// The unexpired marks, latest expiry first, at most `limit`.
    [[nodiscard]] std::vector<crash_mark> digest(time_point now, std::size_t limit = 1'000) const;

    /// The unexpired marks that a node with `known` lacks, or has not cleared yet.
    [[nodiscard]] std::vector<crash_mark> missing_from(const std::vector<crash_mark>& known,
                                                       time_point now) const;

    /// Merges another node's marks. Returns whether anything was new and thus worth
    /// forwarding.
    bool merge(const std::vector<crash_mark>& marks, time_point now);

    /// Every fingerprint with an active mark, sorted.
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

    /// The crashes for which a fingerprint has an active mark: not cleared, not expired.
    [[nodiscard]] std::vector<std::string> active_crashes(const std::string& fingerprint,
                                                          time_point now) const;
    [[nodiscard]] bool is_only_common_suspect(const std::vector<std::string>& crashes,
                                              time_point now) const;
    void evict_oldest();

    quarantine_options m_options;
    std::map<key, mark> m_marks;
};

} // namespace pomelohead::outcome
