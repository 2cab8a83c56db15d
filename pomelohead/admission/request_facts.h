// Value types of admission control: its inputs and its decisions.
//
//     request_facts facts{.m_id = 7, .m_account = "gwynedd", .m_deadline = now + 250ms};
//     const decision d = queue.offer(facts, now);
//     if (d.m_verdict == verdict::refused) {
//         answer_not_run(d.m_why, d.m_retry_after);
//     }
#pragma once

#include "pomelohead/config/snapshot.h"
#include "pomelohead/runtime/reason.h"
#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <string>

namespace pomelohead::admission {

/// Whether a request may wait for a slot.
enum class queueing {
    allowed,
    none,       ///< it starts at once or is refused
    spare_only, ///< it starts at once and leaves a slot free, or is refused; for hedges
};

/// The properties of a request that admission depends on.
struct request_facts {
    std::uint64_t m_id = 0; ///< unique among the queued and running requests of the owner
    std::string m_account;
    config::work_class m_class = config::work_class::short_work;
    config::urgency m_urgency = config::urgency::normal;
    std::uint32_t m_depth = 0; ///< number of calls above it in its call chain
    time_point m_deadline;
    time_point m_objective{}; ///< a later answer is late but still useful; zero: none
    duration m_expected{};    ///< expected run time on the target; zero: the owner estimates it
    std::string m_route;      ///< key of the estimate; empty: use the class's estimate
    queueing m_queueing = queueing::allowed;
    bool m_is_call = false; ///< a running request of another target waits for it

    bool operator==(const request_facts&) const = default;
};

/// A load report for one target. Its owner attaches it to every answer.
struct load_report {
    std::uint32_t m_free = 0;          ///< slots free for short work
    std::uint32_t m_queued = 0;        ///< short requests that wait for a slot
    std::uint32_t m_urgent_queued = 0; ///< number of urgent requests in m_queued
    std::uint32_t m_long_free = 0;     ///< slots free for long work
    std::uint32_t m_long_queued = 0;   ///< long requests that wait for a slot
    bool m_warming_up = false;         ///< the target takes a limited rate until it has warmed up

    bool operator==(const load_report&) const = default;
};

/// The decision on an offered request.
enum class verdict {
    start,   ///< it holds a slot: hand it over to the target
    queued,  ///< it waits; a later call returns it as started or refused
    refused, ///< it will not run
};

/// The result of slot_queue::offer().
struct decision {
    verdict m_verdict = verdict::refused;
    reason m_why;                 ///< set where refused
    milliseconds m_retry_after{}; ///< set where refused: delay before a retry is useful

    bool operator==(const decision&) const = default;
};

/// How a request that held a slot ended.
enum class request_end {
    complete, ///< the target answered in full: the run time is a sample
    aborted,  ///< cancelled or lost: the run time is not a sample
    refused,  ///< the target refused it without running it, being full
};

} // namespace pomelohead::admission
