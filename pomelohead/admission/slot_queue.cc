// The queue is a small vector that is searched whenever a slot becomes free. It is bounded
// to a few requests per slot, and the order of two requests changes with the recent use of
// their accounts, which a heap would not reflect.
#include "pomelohead/admission/slot_queue.h"

#include "pomelohead/admission/retry_jitter.h"

#include <algorithm>
#include <cmath>

namespace pomelohead::admission {
namespace {

constexpr milliseconds ramp_step{50};

// Bounds memory; further routes are not counted as preceding others.
constexpr std::size_t max_routes = 1000;

// Minimum fraction of the slots that a predicted wait assumes is left by preceding routes.
constexpr double min_remaining_share = 0.05;

using config::work_class;

// No slot is kept for calls where none come.
admission_options call_reserve_options(admission_options options)
{
    options.m_min_reserve = 0;
    return options;
}

std::string format_ms(duration value)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(value).count()) + " ms";
}

} // namespace

slot_queue::slot_queue(admission_options options, std::uint32_t slots, time_point counted_since)
    : m_options(options), m_slots(slots), m_account_use(options.m_share_window),
      m_route_shares(options.m_share_window), m_long_limit(options),
      m_call_reserve(call_reserve_options(options)), m_warm_up(counted_since),
      m_rank_reserve(m_warm_up.room(), m_warm_up.window())
{
    m_limit = m_slots;
    if (m_options.m_slow_start) {
        m_limit = std::clamp<std::uint32_t>(
            static_cast<std::uint32_t>(std::ceil(slots * m_options.m_slow_start_share)), 1,
            std::max(1U, slots));
    }
}

std::uint32_t slot_queue::running() const
{
    return static_cast<std::uint32_t>(m_running.size());
}

std::uint32_t slot_queue::count_queued(work_class work) const
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(m_queue, [work](const queued_request& request) {
            return request.m_facts.m_class == work;
        }));
}

std::uint32_t slot_queue::queue_limit(work_class work) const
{
    return m_slots * (work == work_class::short_work ? m_options.m_queue_per_slot
                                                     : m_options.m_long_queue_per_slot);
}

void slot_queue::advance(time_point now)
{
    m_now = std::max(m_now, now);
    if (!m_ramp_start) {
        m_ramp_start = now;
        m_ramp_base = m_limit;
    }
    if (m_limit < m_slots) {
        const std::chrono::duration<double> age = m_now - *m_ramp_start;
        const std::chrono::duration<double> ramp = m_options.m_slow_start_time;
        const double ramp_progress = std::min(1.0, age.count() / ramp.count());
        const double limit = m_ramp_base + (m_slots - m_ramp_base) * ramp_progress;
        m_limit = std::max(m_limit, static_cast<std::uint32_t>(limit));
    }
    const std::uint32_t running_short = running() - m_running_long;
    m_long_limit.observe(running_short + count_queued(work_class::short_work), m_running_long,
                         m_now);
    if (m_options.m_call_reserve) {
        const auto queued_calls = std::ranges::count_if(
            m_queue, [](const queued_request& request) { return request.m_facts.m_is_call; });
        m_call_reserve.observe(m_running_calls + static_cast<std::uint32_t>(queued_calls),
                               running() - m_running_calls, m_now);
    }
}

bool slot_queue::leaves_spare_slot(const request_facts& facts) const
{
    return facts.m_queueing != queueing::spare_only || running() + 1 < m_limit;
}

// Lowers the limit to the running requests and raises it again over m_slow_start_time.
// Called after the slot of a request that the target refused has been released.
void slot_queue::restart_slow_start(time_point now)
{
    m_limit = std::clamp(running(), 1U, std::max(1U, m_slots));
    m_ramp_base = m_limit;
    m_ramp_start = now;
}

bool slot_queue::may_start(const request_facts& facts) const
{
    if (running() >= m_limit) {
        return false;
    }
    if (m_options.m_call_reserve && !facts.m_is_call &&
        !m_call_reserve.allows(running() - m_running_calls, m_limit)) {
        return false;
    }
    if (facts.m_class == work_class::short_work || !m_options.m_short_reserve) {
        return true;
    }
    return m_long_limit.allows(m_running_long, m_limit);
}

duration slot_queue::typical_run_time(const request_facts& facts) const
{
    return facts.m_expected > duration::zero()
               ? facts.m_expected
               : m_run_times.typical_run_time(facts.m_class, facts.m_route);
}

duration slot_queue::required_time(const request_facts& facts) const
{
    if (!m_options.m_deadline_admission) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(typical_run_time(facts) *
                                                m_options.m_required_run_time_share);
}

bool slot_queue::can_meet_objective(const request_facts& facts) const
{
    return facts.m_objective != time_point{} && m_now + required_time(facts) <= facts.m_objective;
}

time_point slot_queue::queue_deadline(const request_facts& facts, time_point now) const
{
    const time_point latest_start = facts.m_deadline - required_time(facts);
    // A deep call blocks all calls above it, so its objective does not shorten its wait.
    if (m_options.m_objective_order && facts.m_depth == 0 && facts.m_objective != time_point{}) {
        const time_point latest_start_on_time = facts.m_objective - required_time(facts);
        return std::min(latest_start, std::max(latest_start_on_time, now + m_options.m_late_wait));
    }
    if (!m_options.m_bounded_wait || facts.m_class == work_class::long_work) {
        return latest_start;
    }
    return std::min(latest_start, now + m_options.m_max_wait);
}

bool slot_queue::precedes(const queued_request& a, const queued_request& b) const
{
    const request_facts& x = a.m_facts;
    const request_facts& y = b.m_facts;
    if (m_options.m_fair_share) {
        const bool x_below =
            m_account_use.is_below_floor(x.m_account, x.m_class, m_options.m_account_floor);
        const bool y_below =
            m_account_use.is_below_floor(y.m_account, y.m_class, m_options.m_account_floor);
        if (x_below != y_below) {
            return x_below;
        }
    }
    if (m_options.m_short_first && x.m_route != y.m_route) {
        const bool x_below = is_below_floor(x);
        if (x_below != is_below_floor(y)) {
            return x_below;
        }
    }
    if (m_options.m_deep_first && x.m_depth != y.m_depth) {
        return x.m_depth > y.m_depth;
    }
    if (m_options.m_urgency_order && x.m_urgency != y.m_urgency) {
        return x.m_urgency < y.m_urgency;
    }
    if (m_options.m_depth_order && x.m_depth != y.m_depth) {
        return x.m_depth > y.m_depth;
    }
    if (m_options.m_call_reserve && x.m_is_call != y.m_is_call) {
        return x.m_is_call;
    }
    if (m_options.m_objective_order) {
        const bool x_meets_objective = can_meet_objective(x);
        if (x_meets_objective != can_meet_objective(y)) {
            return x_meets_objective;
        }
    }
    if (m_options.m_short_first && typical_run_time(x) != typical_run_time(y)) {
        return typical_run_time(x) < typical_run_time(y);
    }
    if (m_options.m_fair_share && x.m_account != y.m_account) {
        const double x_use = m_account_use.use_seconds(x.m_account, x.m_class);
        const double y_use = m_account_use.use_seconds(y.m_account, y.m_class);
        if (x_use != y_use) {
            return x_use < y_use;
        }
    }
    return a.m_sequence < b.m_sequence;
}

std::vector<slot_queue::queued_request>::iterator slot_queue::next_to_start(time_point now)
{
    const bool long_first = m_options.m_short_reserve && m_long_limit.is_below_floor();
    auto best = m_queue.end();
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        if (it->m_queue_deadline < now || !may_start(it->m_facts)) {
            continue;
        }
        if (best == m_queue.end()) {
            best = it;
            continue;
        }
        const bool is_long = it->m_facts.m_class == work_class::long_work;
        const bool best_is_long = best->m_facts.m_class == work_class::long_work;
        if (m_options.m_short_reserve && is_long != best_is_long) {
            best = is_long == long_first ? it : best;
        }
        else if (precedes(*it, *best)) {
            best = it;
        }
    }
    return best;
}

void slot_queue::start(const request_facts& facts, time_point now)
{
    m_running[facts.m_id] = {facts.m_class, facts.m_account, facts.m_route, now, facts.m_is_call};
    m_running_calls += facts.m_is_call ? 1 : 0;
    if (facts.m_class == work_class::long_work) {
        ++m_running_long;
    }
    const duration expected = std::max<duration>(
        m_run_times.typical_run_time(facts.m_class, facts.m_route), milliseconds(1));
    m_account_use.add(facts.m_account, facts.m_class, expected, now);
    if (m_options.m_short_first) {
        m_route_shares.add_started(facts.m_route, facts.m_class, expected, now);
        if (m_last_started_by_route.size() < max_routes ||
            m_last_started_by_route.contains(facts.m_route)) {
            m_last_started_by_route[facts.m_route] = facts;
        }
    }
    m_rate_limit.record_start(now);
    record_warm_up_start(facts, now);
    advance(now);
}

std::vector<std::uint64_t> slot_queue::start_queued(time_point now)
{
    std::vector<std::uint64_t> started;
    while (running() < m_limit && startable(now) > 0) {
        const auto next = next_to_start(now);
        if (next == m_queue.end()) {
            break;
        }
        const request_facts facts = next->m_facts;
        m_queue.erase(next);
        start(facts, now);
        started.push_back(facts.m_id);
    }
    return started;
}

bool slot_queue::is_shed(const request_facts& facts) const
{
    const std::uint32_t load = running() + queued();
    return std::ranges::any_of(m_rules, [&](const config::shed_rule& rule) {
        return (rule.m_account == "*" || rule.m_account == facts.m_account) &&
               rule.m_class == facts.m_class && facts.m_urgency >= rule.m_from_urgency &&
               std::uint64_t{load} * 100 >= std::uint64_t{rule.m_load_percent} * m_limit;
    });
}

bool slot_queue::is_below_floor(const request_facts& facts) const
{
    return m_route_shares.is_below_floor(facts.m_route, facts.m_class, m_options.m_route_floor);
}

// The fraction of the slots used by requests of other routes that precede this one.
// Requests of those routes that arrive while it waits precede it too and lengthen its wait.
double slot_queue::preceding_share(const queued_request& request) const
{
    double share = 0;
    for (const auto& [route, last] : m_last_started_by_route) {
        queued_request other{last, 0, {}};
        other.m_facts.m_objective = time_point::max();
        if (route != request.m_facts.m_route && last.m_class == request.m_facts.m_class &&
            precedes(other, request)) {
            share += m_route_shares.share_of(route, last.m_class);
        }
    }
    return share;
}

duration slot_queue::predicted_wait(const queued_request& request) const
{
    const work_class work = request.m_facts.m_class;
    const auto ahead = std::ranges::count_if(m_queue, [&](const queued_request& other) {
        return other.m_facts.m_class == work && precedes(other, request);
    });
    const std::uint32_t slots_of_other_class =
        work == work_class::short_work ? m_running_long : running() - m_running_long;
    const std::uint32_t slots = m_limit > slots_of_other_class ? m_limit - slots_of_other_class : 1;
    const double remaining_share = std::max(1 - preceding_share(request), min_remaining_share);
    return std::chrono::duration_cast<duration>(m_run_times.mean_run_time(work) * (ahead + 1) /
                                                (slots * remaining_share));
}

// Returns whether the queue has room for `request`. If it is full, displaces the last queued
// request of the same class, provided that `request` precedes it.
bool slot_queue::make_room(const queued_request& request)
{
    const work_class work = request.m_facts.m_class;
    if (count_queued(work) < queue_limit(work)) {
        return true;
    }
    const auto last = last_to_start(work);
    if (last == m_queue.end() || !precedes(request, *last)) {
        return false;
    }
    displace(last);
    return true;
}

// Returns the queued request that would start last; of one class, or of both.
std::vector<slot_queue::queued_request>::iterator
slot_queue::last_to_start(std::optional<work_class> work)
{
    auto last = m_queue.end();
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        if ((!work || it->m_facts.m_class == *work) &&
            (last == m_queue.end() || precedes(*last, *it))) {
            last = it;
        }
    }
    return last;
}

void slot_queue::displace(std::vector<queued_request>::iterator queued)
{
    m_displaced.push_back(queued->m_facts.m_id);
    m_queue.erase(queued);
}

void slot_queue::record_answer(std::optional<double> max_rate, time_point handed_over,
                               time_point now)
{
    advance(now);
    m_rate_limit.record_answer(max_rate, handed_over, now);
    displace_over_rate(now);
}

decision slot_queue::refuse(const request_facts& facts, reason why) const
{
    return {verdict::refused, std::move(why), retry_after(facts.m_id, facts.m_urgency)};
}

decision slot_queue::enqueue(const request_facts& facts, time_point now)
{
    const queued_request request{facts, m_next_sequence++, queue_deadline(facts, now)};
    const duration wait = predicted_wait(request);
    if (m_options.m_deadline_admission && now + wait > facts.m_deadline - required_time(facts)) {
        return refuse(facts, {reason_code::timed_out, "the predicted wait for a slot is " +
                                                          format_ms(wait) +
                                                          ", too long to meet the deadline"});
    }
    if (now + wait > request.m_queue_deadline) {
        return refuse(facts, {reason_code::refused,
                              "overloaded: the predicted wait for a slot is " + format_ms(wait) +
                                  ", the maximum is " + format_ms(m_options.m_max_wait)});
    }
    if (!make_room(request)) {
        return refuse(facts, {reason_code::refused,
                              "overloaded: the queue is full, length " + std::to_string(queued())});
    }
    m_queue.push_back(request);
    return {verdict::queued, {}, {}};
}

void slot_queue::record_offer(const request_facts& facts, time_point now)
{
    if (m_options.m_short_first) {
        m_route_shares.add_offered(facts.m_route, facts.m_class,
                                   std::max<duration>(typical_run_time(facts), milliseconds(1)),
                                   now);
    }
}

decision slot_queue::offer(const request_facts& facts, time_point now)
{
    advance(now);
    const bool is_held = m_running.contains(facts.m_id) ||
                         std::ranges::any_of(m_queue, [&](const queued_request& request) {
                             return request.m_facts.m_id == facts.m_id;
                         });
    if (is_held) {
        return refuse(
            facts, {reason_code::conflict, "a request with this id is already queued or running"});
    }
    // A request that is refused here unless it starts at once is offered to other targets too.
    if (facts.m_queueing == queueing::allowed) {
        record_offer(facts, now);
    }
    if (is_shed(facts)) {
        return refuse(facts, {reason_code::refused, "shed under load by an operator's rule"});
    }
    if (now + required_time(facts) > facts.m_deadline || now >= facts.m_deadline) {
        return refuse(facts, {reason_code::timed_out,
                              "the typical run time requires " + format_ms(required_time(facts)) +
                                  ", time left until the deadline is " +
                                  format_ms(std::max(duration::zero(), facts.m_deadline - now))});
    }
    if (m_rate_limit.available(now) <= queued()) {
        const duration wait = m_rate_limit.time_until(queued() + 1, now);
        const auto retry = std::chrono::ceil<milliseconds>(wait * retry_jitter(facts.m_id));
        return {
            verdict::refused,
            {reason_code::rate_limited, "the target takes no more requests for " + format_ms(wait)},
            std::max(std::clamp(retry, min_retry_after, max_retry_after),
                     warm_up_retry_after(facts.m_id, facts.m_urgency))};
    }
    if (std::optional<decision> refused = refuse_by_warm_up(facts, now)) {
        return *std::move(refused);
    }
    const bool is_first = std::ranges::none_of(m_queue, [&](const queued_request& request) {
        return request.m_queue_deadline >= now &&
               (!m_options.m_short_reserve || request.m_facts.m_class == facts.m_class);
    });
    if (is_first && may_start(facts) && leaves_spare_slot(facts)) {
        if (facts.m_queueing != queueing::allowed) {
            record_offer(facts, now);
        }
        start(facts, now);
        return {verdict::start, {}, {}};
    }
    if (facts.m_queueing != queueing::allowed) {
        return refuse(facts, {reason_code::refused, "no slot is free"});
    }
    return enqueue(facts, now);
}

std::vector<std::uint64_t> slot_queue::finish(std::uint64_t id, time_point now,
                                              request_end end_kind)
{
    const auto it = m_running.find(id);
    if (it == m_running.end()) {
        return {};
    }
    const running_request& finished = it->second;
    if (end_kind == request_end::complete) {
        m_run_times.add(finished.m_class, finished.m_route, now - finished.m_started);
    }
    if (finished.m_class == work_class::long_work) {
        --m_running_long;
    }
    m_running_calls -= finished.m_is_call ? 1 : 0;
    m_running.erase(it);
    if (end_kind == request_end::refused && m_options.m_slow_start) {
        restart_slow_start(now);
    }
    advance(now);
    return start_queued(now);
}

std::vector<std::uint64_t> slot_queue::expire(time_point now)
{
    advance(now);
    std::vector<std::uint64_t> expired = std::exchange(m_displaced, {});
    const auto has_expired = [&](const queued_request& request) {
        return request.m_queue_deadline < now;
    };
    for (const queued_request& request : m_queue) {
        if (has_expired(request)) {
            expired.push_back(request.m_facts.m_id);
        }
    }
    std::erase_if(m_queue, has_expired);
    return expired;
}

std::vector<std::uint64_t> slot_queue::due_starts(time_point now)
{
    advance(now);
    return start_queued(now);
}

bool slot_queue::withdraw(std::uint64_t id)
{
    const auto has_id = [id](const queued_request& request) { return request.m_facts.m_id == id; };
    return std::erase_if(m_queue, has_id) + std::erase(m_displaced, id) > 0;
}

std::optional<time_point> slot_queue::next_deadline() const
{
    if (!m_displaced.empty()) {
        return m_now;
    }
    if (m_queue.empty()) {
        return std::nullopt;
    }
    time_point first = time_point::max();
    for (const queued_request& request : m_queue) {
        first = std::min(first, request.m_queue_deadline + std::chrono::nanoseconds(1));
    }
    if (running() < m_slots) {
        first = std::min(first, m_now + ramp_step);
    }
    return first;
}

load_report slot_queue::current_load() const
{
    load_report word;
    const std::uint32_t starts_left = startable(m_now);
    std::uint32_t free_slots = m_limit > running() ? m_limit - running() : 0;
    if (m_options.m_call_reserve) {
        const auto usable =
            static_cast<std::uint32_t>(std::lround(m_call_reserve.average_limit(m_limit)));
        const std::uint32_t used = running() - m_running_calls;
        free_slots = std::min(free_slots, usable > used ? usable - used : 0);
    }
    word.m_free = std::min(free_slots, starts_left > queued() ? starts_left - queued() : 0);
    word.m_queued = count_queued(work_class::short_work);
    word.m_urgent_queued = static_cast<std::uint32_t>(
        std::ranges::count_if(m_queue, [](const queued_request& request) {
            return request.m_facts.m_class == work_class::short_work &&
                   request.m_facts.m_urgency == config::urgency::urgent;
        }));
    word.m_long_queued = count_queued(work_class::long_work);
    word.m_warming_up = m_warm_up.is_limiting(m_now);
    word.m_long_free = word.m_free;
    if (m_options.m_short_reserve) {
        const double average = m_long_limit.average_limit(m_limit);
        const std::uint32_t limit = static_cast<std::uint32_t>(std::ceil(average));
        const std::uint32_t room = limit > m_running_long ? limit - m_running_long : 0;
        word.m_long_free = std::min(word.m_free, room);
    }
    return word;
}

void slot_queue::set_rules(std::vector<config::shed_rule> rules)
{
    m_rules = std::move(rules);
}

std::vector<std::uint64_t> slot_queue::set_limit(std::uint32_t slots, time_point now)
{
    m_slots = slots;
    if (!m_options.m_slow_start || m_limit > slots) {
        m_limit = slots;
    }
    advance(now);
    return start_queued(now);
}

milliseconds slot_queue::retry_after(std::uint64_t id) const
{
    return retry_after(id, config::urgency::deferrable);
}

milliseconds slot_queue::retry_after(std::uint64_t id, config::urgency urgency) const
{
    const duration mean = m_run_times.mean_run_time(work_class::short_work);
    const duration backlog = mean * (queued() + 1) / std::max(1U, m_limit);
    const auto wait = std::chrono::duration_cast<milliseconds>(backlog * retry_jitter(id));
    return std::max(std::clamp(wait, min_retry_after, max_retry_after),
                    warm_up_retry_after(id, urgency));
}

} // namespace pomelohead::admission
