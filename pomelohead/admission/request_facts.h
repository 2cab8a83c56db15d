// What an owner's decisions depend on, and the decisions themselves, as values.
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

/// One request as its owner sees it.
struct request_facts {
    std::uint64_t m_id = 0; ///< unique among the requests that the owner holds
    std::string m_account;
    config::work_class m_class = config::work_class::short_work;
    config::urgency m_urgency = config::urgency::normal;
    std::uint32_t m_depth = 0; ///< levels above it in its call chain
    time_point m_deadline;
    time_point m_objective{}; ///< an answer after it is late, but worth having; zero: none
    duration m_expected{};    ///< run time on the target; zero: the owner estimates it
    std::string m_route;      ///< key for that estimate; empty: the class's estimate

    bool operator==(const request_facts&) const = default;
};

/// How full an owned target is. Rides on every answer of its owner.
struct load_word {
    std::uint32_t m_free = 0;          ///< slots free for short work
    std::uint32_t m_queued = 0;        ///< short work that waits for a slot
    std::uint32_t m_urgent_queued = 0; ///< the urgent part of m_queued
    std::uint32_t m_long_free = 0;     ///< slots that long work may take now
    std::uint32_t m_long_queued = 0;   ///< long work that waits for a slot

    bool operator==(const load_word&) const = default;
};

/// What happens to an offered request.
enum class verdict {
    start,   ///< it holds a slot: hand it to the target
    queued,  ///< it waits; a later call names it to start or to refuse
    refused, ///< it never runs
};

/// The answer to an offer.
struct decision {
    verdict m_verdict = verdict::refused;
    reason m_why;                 ///< set where refused
    milliseconds m_retry_after{}; ///< set where refused: when another try makes sense

    bool operator==(const decision&) const = default;
};

/// How a request that held a slot gave it back.
enum class run_end {
    complete, ///< the target's whole answer: its run time is learned from
    cut,      ///< cancelled or lost: it teaches nothing
    refused,  ///< refused by the target without running it: the target is full
};

} // namespace pomelohead::admission
