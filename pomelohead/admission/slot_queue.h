// The slots of one target and the admission queue for them, used by the target's owner.
//
// A target runs a fixed number of requests concurrently. Its owner starts requests while
// slots are free, queues a bounded number and refuses the rest immediately; a refused
// request has not run. Long work leaves a reserve of slots to short work, which may use all
// of them (long_work_limit.h). Queued short work starts in the order of urgency, depth in
// its call chain, recent use by its account, and arrival; an account below its floor starts
// first regardless of urgency. A request that cannot finish before its deadline is neither
// started nor queued. A request with a latency objective waits only as long as it can still
// meet the objective, and starts before requests of equal rank that cannot meet theirs, so
// that under overload the slots go to answers that are still on time. With m_short_first,
// of otherwise equal requests the one with the shorter typical run time starts first, which
// completes the most requests with the available slots. A route with a much lower fraction
// of its offered work started than all routes together starts before the others, so that no
// route starves.
//
// A target may state how many requests a second it takes (rate_limit.h). What is over that is
// refused at once, and so are queued requests that a new statement leaves no room for.
//
// A service may state how many requests a second a target takes while it warms up
// (warm_up_limit.h). What is over that is refused in the same way; the room goes by urgency
// (rank_reserve.h), and second attempts get none.
//
// A new owner starts with few slots, because its target may still run requests that an
// earlier owner started. When the target refuses a request, the limit drops to the number
// of running requests. In both cases it then rises to the target's slots over
// m_slow_start_time.
//
// The class does no I/O and reads no clock. Returned ids are final: a started id holds its
// slot until finish(), and an expired id never runs.
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
#include "pomelohead/admission/rank_reserve.h"
#include "pomelohead/admission/rate_limit.h"
#include "pomelohead/admission/recent_use.h"
#include "pomelohead/admission/request_facts.h"
#include "pomelohead/admission/route_shares.h"
#include "pomelohead/admission/run_times.h"
#include "pomelohead/admission/warm_up_limit.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace pomelohead::admission {

/// Decides which requests run on one target, and when.
class slot_queue {
public:
    /// `counted_since`: an owner before this one may have started requests until then.
    slot_queue(admission_options options, std::uint32_t slots, time_point counted_since = {});

    /// Decides on a new request. If that displaces a queued request, or leaves one without a
    /// slot until its queue deadline, expire() returns the id of that request.
    [[nodiscard]] decision offer(const request_facts& facts, time_point now);

    /// Releases the slot of a started request; unknown ids are ignored. Returns the ids to
    /// start now.
    [[nodiscard]] std::vector<std::uint64_t> finish(std::uint64_t id, time_point now,
                                                    request_end end_kind = request_end::complete);

    /// Records an answer of the target, see rate_limit::record_answer().
    void record_answer(std::optional<double> max_rate, time_point handed_over, time_point now);

    /// Sets what the service states of its targets' warm-up, see warm_up_limit::configure().
    void configure_warm_up(double rate, duration time);

    /// See warm_up_limit::record_possible_restart().
    void record_possible_restart(time_point now);

    /// See warm_up_limit::record_statement().
    void record_warm_up_statement(duration left, time_point asked_at, time_point answered_at = {});

    /// Keeps one start of the limit from requests until record_warm_up_probe(). A health request
    /// finds room with it when warm_up().available() is not zero.
    void plan_warm_up_probe(time_point now);

    /// Records that a health request is sent to the target; it counts as a start.
    void record_warm_up_probe(time_point now);

    [[nodiscard]] const warm_up_limit& warm_up() const { return m_warm_up; }

    /// Removes and returns the queued ids that must be refused now as not run.
    [[nodiscard]] std::vector<std::uint64_t> expire(time_point now);

    /// Returns the ids to start now although no slot was released: slow start or the limit
    /// for long work may have made room.
    [[nodiscard]] std::vector<std::uint64_t> due_starts(time_point now);

    /// Removes a request from the queue. Returns true if it was queued or displaced; it then
    /// never starts.
    [[nodiscard]] bool withdraw(std::uint64_t id);

    /// When to call expire() and due_starts() next; nullopt if no request is queued or displaced.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    [[nodiscard]] load_report current_load() const;

    /// Replaces the operator's rules for refusing under load.
    void set_rules(std::vector<config::shed_rule> rules);

    /// Changes the number of slots; running requests are not cancelled. Returns the ids to
    /// start now.
    [[nodiscard]] std::vector<std::uint64_t> set_limit(std::uint32_t slots, time_point now);

    /// Delay before a retry is useful, for a request that expire() returned.
    [[nodiscard]] milliseconds retry_after(std::uint64_t id) const;

    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::uint32_t queued() const
    {
        return static_cast<std::uint32_t>(m_queue.size());
    }
    [[nodiscard]] std::optional<double> stated_rate() const { return m_rate_limit.stated_rate(); }
    /// Typical run time of a route on this target; zero: unknown.
    [[nodiscard]] duration route_run_time(config::work_class work, const std::string& route) const
    {
        return m_run_times.typical_run_time(work, route);
    }
    /// Current limit of running requests; below the target's slots during slow start.
    [[nodiscard]] std::uint32_t limit() const { return m_limit; }

private:
    struct running_request {
        config::work_class m_class = config::work_class::short_work;
        std::string m_account;
        std::string m_route;
        time_point m_started;
        bool m_is_call = false;
    };
    struct queued_request {
        request_facts m_facts;
        std::uint64_t m_sequence = 0;
        time_point m_queue_deadline; // refused if not started by then
    };

    void advance(time_point now);
    void restart_slow_start(time_point now);
    void start(const request_facts& facts, time_point now);
    std::vector<std::uint64_t> start_queued(time_point now);
    [[nodiscard]] bool may_start(const request_facts& facts) const;
    [[nodiscard]] bool leaves_spare_slot(const request_facts& facts) const;
    [[nodiscard]] bool precedes(const queued_request& a, const queued_request& b) const;
    [[nodiscard]] std::vector<queued_request>::iterator next_to_start(time_point now);
    [[nodiscard]] bool is_shed(const request_facts& facts) const;
    [[nodiscard]] duration typical_run_time(const request_facts& facts) const;
    [[nodiscard]] duration required_time(const request_facts& facts) const;
    [[nodiscard]] bool can_meet_objective(const request_facts& facts) const;
    [[nodiscard]] bool is_below_floor(const request_facts& facts) const;
    [[nodiscard]] double preceding_share(const queued_request& request) const;
    [[nodiscard]] duration predicted_wait(const queued_request& request) const;
    [[nodiscard]] time_point queue_deadline(const request_facts& facts, time_point now) const;
    [[nodiscard]] std::uint32_t count_queued(config::work_class work) const;
    [[nodiscard]] std::uint32_t queue_limit(config::work_class work) const;
    [[nodiscard]] std::vector<queued_request>::iterator
    last_to_start(std::optional<config::work_class> work);
    bool make_room(const queued_request& request);
    void displace(std::vector<queued_request>::iterator queued);
    [[nodiscard]] std::uint32_t startable(time_point now) const;
    void displace_over_rate(time_point now);
    void record_warm_up_start(const request_facts& facts, time_point now);
    [[nodiscard]] std::optional<decision> refuse_by_warm_up(const request_facts& facts,
                                                            time_point now);
    [[nodiscard]] duration warm_up_wait(time_point now) const;
    [[nodiscard]] milliseconds warm_up_retry_after(std::uint64_t id, config::urgency urgency) const;
    [[nodiscard]] milliseconds retry_after(std::uint64_t id, config::urgency urgency) const;
    void record_offer(const request_facts& facts, time_point now);
    [[nodiscard]] decision enqueue(const request_facts& facts, time_point now);
    [[nodiscard]] decision refuse(const request_facts& facts, reason why) const;

    admission_options m_options;
    std::uint32_t m_slots;
    std::uint32_t m_limit = 0;
    std::uint32_t m_running_long = 0;
    std::uint64_t m_next_sequence = 1;
    std::optional<time_point>
        m_ramp_start;       // set by the first call that advances time, and by restart_slow_start()
    double m_ramp_base = 0; // the limit at m_ramp_start
    time_point m_now{};
    std::unordered_map<std::uint64_t, running_request> m_running;
    std::vector<queued_request> m_queue;
    std::vector<std::uint64_t> m_displaced;
    std::vector<config::shed_rule> m_rules;
    run_times m_run_times;
    recent_use m_account_use; // by account
    route_shares m_route_shares;
    std::unordered_map<std::string, request_facts>
        m_last_started_by_route; // the request started last, by route
    long_work_limit m_long_limit;
    long_work_limit m_call_reserve; // calls in place of short work, all others in place of long
    std::uint32_t m_running_calls = 0;
    rate_limit m_rate_limit; // has room for each queued request, as has m_warm_up
    warm_up_limit m_warm_up;
    rank_reserve m_rank_reserve;
    bool m_is_probe_planned = false;
};

} // namespace pomelohead::admission
