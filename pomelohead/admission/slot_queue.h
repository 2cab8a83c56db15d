// The slots of one target and the queue before them, as its owner decides on them.
//
// A target runs a fixed number of requests at the same time. Its owner starts
// requests while slots are free, queues a bounded number, and refuses the rest at
// once; a refused request has not run. Long work leaves a reserve of slots to short
// work, which may take all of them (long_work_limit.h). Queued short work leaves in
// the order of urgency, depth in its call chain, its account's recent use and its
// arrival; an account below its floor goes first whatever its urgency. What cannot
// finish in the time left is neither started nor queued. Where requests have latency
// objectives, one waits only as long as it can still meet its own, and goes before those
// of its rank that cannot: in an overload slots go to answers that are still on time.
// With m_short_first, of those alike the one with the shorter typical run time goes
// first, which serves the most requests with the slots there are. A route that gets much
// less of what it asks for than all do goes before the others, so that none starves.
//
// A new owner begins with few slots, because its target may still run what an earlier
// owner started; a target that refuses work sets the limit back to what it runs. From
// there the limit grows to the target's slots over m_slow_start_time.
//
// The class does no I/O and reads no clock. Ids that a call returns are decided for
// good: "start" ids hold a slot until finish(), expired ids never run.
//
//     slot_queue queue(options, 9);
//     decision d = queue.offer(facts, timers.now());
//     ...
//     for (std::uint64_t id : queue.finish(done, timers.now())) { hand_over(id); }
//     // after each of these calls, and at next_deadline():
//     for (std::uint64_t id : queue.expire(timers.now())) { answer_not_run(id); }
//     for (std::uint64_t id : queue.due_starts(timers.now())) { hand_over(id); }
#pragma once

#include "pomelohead/admission/long_work_limit.h"
#include "pomelohead/admission/options.h"
#include "pomelohead/admission/recent_use.h"
#include "pomelohead/admission/request_facts.h"
#include "pomelohead/admission/route_shares.h"
#include "pomelohead/admission/run_times.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace pomelohead::admission {

/// Decides which requests run on one target, and when.
class slot_queue {
public:
    slot_queue(admission_options options, std::uint32_t slots);

    /// Decides on a new request. Where it makes another one hopeless or displaces
    /// it, expire() names that one.
    [[nodiscard]] decision offer(const request_facts& facts, time_point now);

    /// Gives back the slot of a started request; unknown ids are ignored.
    /// Returns the ids to start now.
    [[nodiscard]] std::vector<std::uint64_t> finish(std::uint64_t id, time_point now,
                                                    run_end how = run_end::complete);

    /// Removes and returns the queued ids that have to be refused now as not run.
    [[nodiscard]] std::vector<std::uint64_t> expire(time_point now);

    /// Returns the ids to start now without a slot having been given back: the
    /// slow start or the limit of long work has moved on.
    [[nodiscard]] std::vector<std::uint64_t> due_starts(time_point now);

    /// Takes a request out of the queue. True: it was queued and never starts.
    [[nodiscard]] bool withdraw(std::uint64_t id);

    /// When expire() and due_starts() are to be called next; nothing while the queue is empty.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    [[nodiscard]] load_word word() const;

    /// Replaces the operator's rules for refusing under load.
    void set_rules(std::vector<config::shed_rule> rules);

    /// Changes the number of slots; running requests are not cut. Returns the ids to start now.
    [[nodiscard]] std::vector<std::uint64_t> set_limit(std::uint32_t slots, time_point now);

    /// When another try makes sense, for a request that expire() named.
    [[nodiscard]] milliseconds retry_after(std::uint64_t id) const;

    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::uint32_t queued() const
    {
        return static_cast<std::uint32_t>(m_queue.size());
    }
    /// Slots in use at most now; below the target's own during slow start.
    [[nodiscard]] std::uint32_t limit() const { return m_limit; }

private:
    struct running_request {
        config::work_class m_class = config::work_class::short_work;
        std::string m_account;
        std::string m_route;
        time_point m_started;
    };
    struct queued_request {
        request_facts m_facts;
        std::uint64_t m_sequence = 0;
        time_point m_queue_deadline; // refused when this has passed
    };

    void advance(time_point now);
    void restart_slow_start(time_point now);
    void start(const request_facts& facts, time_point now);
    std::vector<std::uint64_t> start_queued(time_point now);
    [[nodiscard]] bool may_start(config::work_class work) const;
    [[nodiscard]] bool precedes(const queued_request& a, const queued_request& b) const;
    [[nodiscard]] std::vector<queued_request>::iterator next_to_start(time_point now);
    [[nodiscard]] bool is_shed(const request_facts& facts) const;
    [[nodiscard]] duration typical_run_time(const request_facts& facts) const;
    [[nodiscard]] duration required_time(const request_facts& facts) const;
    [[nodiscard]] bool can_meet_objective(const request_facts& facts) const;
    [[nodiscard]] bool is_below_floor(const request_facts& facts) const;
    [[nodiscard]] double preceding_share(const queued_request& entry) const;
    [[nodiscard]] duration predicted_wait(const queued_request& entry) const;
    [[nodiscard]] time_point queue_deadline(const request_facts& facts, time_point now) const;
    [[nodiscard]] std::uint32_t count_queued(config::work_class work) const;
    [[nodiscard]] std::uint32_t queue_limit(config::work_class work) const;
    bool make_room(const queued_request& entry);
    [[nodiscard]] decision enqueue(const request_facts& facts, time_point now);
    [[nodiscard]] decision refuse(const request_facts& facts, reason why) const;

    admission_options m_options;
    std::uint32_t m_slots;
    std::uint32_t m_limit = 0;
    std::uint32_t m_running_long = 0;
    std::uint64_t m_next_sequence = 1;
    std::optional<time_point> m_ramp_start; // set by the first offer
    double m_ramp_base = 0;                 // the limit at that time
    time_point m_now{};
    std::unordered_map<std::uint64_t, running_request> m_running;
    std::vector<queued_request> m_queue;
    std::vector<std::uint64_t> m_displaced;
    std::vector<config::shed_rule> m_rules;
    run_times m_run_times;
    recent_use m_account_use; // by account
    route_shares m_route_shares;
    std::unordered_map<std::string, request_facts> m_last_started_by_route; // the last one started
    long_work_limit m_long_limit;
};

} // namespace pomelohead::admission
