#include "pomelohead/forwarding/owned_target.h"

#include "pomelohead/runtime/guarded_call.h"
#include "pomelohead/telemetry/log.h"

namespace pomelohead::forwarding {
namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(200);
constexpr std::array<duration, 4> probe_delays = {
    std::chrono::milliseconds(0), std::chrono::milliseconds(2), std::chrono::milliseconds(10),
    std::chrono::milliseconds(30)};
constexpr milliseconds isolation_retry_after{1000};

} // namespace

owned_target::owned_target(boost::asio::io_context& io, timer_service& timers,
                           config::target target, admission::admission_options options,
                           warm_up_context warm_up)
    : m_io(io), m_timers(timers), m_target(std::move(target)),
      m_queue(options, m_target.m_slots, warm_up.m_counted_since),
      m_pool(io, {m_target.m_host, m_target.m_port}, m_target.m_connections),
      m_warm_up_context(std::move(warm_up))
{
    if (m_warm_up_context.m_fibers != nullptr && m_warm_up_context.m_read_health) {
        m_probe = std::make_shared<warm_up_probe>(io, timers, *m_warm_up_context.m_fibers,
                                                  make_probe_options());
    }
}

owned_target::~owned_target()
{
    stop_queries();
}

void owned_target::update(const config::target& target, const std::vector<config::shed_rule>& rules,
                          const warm_up_settings& warm_up)
{
    const config::target old = std::exchange(m_target, target);
    const warm_up_settings old_warm_up = std::exchange(m_warm_up, warm_up);
    m_queue.set_rules(rules);
    if (target.m_slots != old.m_slots) {
        add_grants(m_queue.set_limit(target.m_slots, m_timers.now()));
    }
    m_queue.configure_warm_up(warm_up.m_rate, warm_up.m_time);
    if (m_probe) {
        m_probe->set_path(warm_up.m_health_path);
        m_probe->update();
    }
    // The first update of a new object is among those in which the rate is new.
    const bool is_rate_new = old_warm_up.m_rate <= 0;
    const bool has_returned = old_warm_up.m_is_evacuated && !warm_up.m_is_evacuated;
    // The registration of a target that has stated its warm-up itself arrives later and tells
    // nothing new; a query for it would take a start of the target.
    const bool is_known =
        m_queue.warm_up().is_stated() && m_queue.warm_up().is_limiting(m_timers.now());
    const bool states_warm_up = !is_known && old.m_warm_up_left <= milliseconds::zero() &&
                                target.m_warm_up_left > milliseconds::zero();
    if (is_rate_new || has_returned || states_warm_up || target.m_started_ms != old.m_started_ms) {
        suspect_restart();
    }
    report_warm_up();
    process_queue();
}

void owned_target::stop_queries()
{
    if (m_probe) {
        m_probe->stop();
    }
}

warm_up_probe_options owned_target::make_probe_options()
{
    return {.m_target = m_target.m_name,
            .m_where = {m_target.m_host, m_target.m_port},
            .m_read_health = m_warm_up_context.m_read_health,
            .m_view = [this](time_point now) { return view_warm_up(now); },
            .m_on_query =
                [this](time_point now) {
                    m_queue.record_warm_up_probe(now);
                    process_queue();
                },
            .m_on_answer =
                [this](duration left, time_point asked_at, time_point now) {
                    m_queue.record_warm_up_statement(left, asked_at, now);
                    report_warm_up();
                    process_queue();
                },
            .m_on_failure =
                [this](time_point now) {
                    const admission::warm_up_limit& limit = m_queue.warm_up();
                    if (limit.is_limiting(now) && !limit.is_stated()) {
                        m_queue.plan_warm_up_probe(now);
                        process_queue();
                    }
                },
            .m_on_possible_restart = [this](time_point now) { limit_until_answer(now); },
            .m_on_result =
                [this](std::string_view result) {
                    m_warm_up_context.m_stats->add("health_queries_total",
                                                   {{"result", std::string(result)}});
                }};
}

warm_up_view owned_target::view_warm_up(time_point now) const
{
    const admission::warm_up_limit& limit = m_queue.warm_up();
    return {.m_may_query = limit.is_configured() && !m_warm_up.m_health_path.empty() &&
                           !m_warm_up.m_is_evacuated && !is_leaving() && !is_displaced() &&
                           !m_warm_up_context.m_is_draining(),
            .m_is_stated = limit.is_stated(),
            .m_is_limited = limit.is_limiting(now),
            .m_room_at = now + limit.time_until(1, now)};
}

void owned_target::suspect_restart()
{
    if (m_warm_up.m_rate <= 0) {
        return;
    }
    limit_until_answer(m_timers.now());
    if (m_probe) {
        m_probe->record_suspicion(true);
    }
}

void owned_target::limit_until_answer(time_point now)
{
    m_queue.record_possible_restart(now);
    report_warm_up();
    process_queue();
}

// Logs changes, and sets the timer for the end of the limit, which nothing else may coincide with.
void owned_target::report_warm_up()
{
    const time_point now = m_timers.now();
    const admission::warm_up_limit& limit = m_queue.warm_up();
    const std::optional<time_point> until = limit.limits_until(now);
    const warm_up_state state = !until              ? warm_up_state::warm
                                : limit.is_stated() ? warm_up_state::stated
                                                    : warm_up_state::assumed;
    if (std::exchange(m_reported_warm_up, state) != state) {
        if (until) {
            log_event(log_level::info, "target_warming_up",
                      {{"target", m_target.m_name},
                       {"for_ms", std::chrono::duration_cast<milliseconds>(*until - now).count()},
                       {"source", state == warm_up_state::stated ? "stated" : "assumed"}});
        }
        else {
            log_event(log_level::info, "target_warmed_up", {{"target", m_target.m_name}});
        }
    }
    m_warm_up_timer.cancel();
    if (until) {
        m_warm_up_timer = m_timers.after(std::max<duration>(*until - now, milliseconds(1)), [this] {
            report_warm_up();
            process_queue();
        });
    }
}

admission::decision owned_target::offer(const admission::request_facts& facts, bool isolated,
                                        slot_callbacks callbacks)
{
    const bool occupied = isolated && (m_queue.running() > 0 || m_queue.queued() > 0);
    if (occupied || m_isolated_id != 0) {
        return {admission::verdict::refused,
                {reason_code::refused, "the target runs one request in isolation"},
                isolation_retry_after};
    }
    admission::decision decision = m_queue.offer(facts, m_timers.now());
    if (decision.m_verdict == admission::verdict::refused && m_warm_up_context.m_stats != nullptr &&
        decision.m_why.m_code == reason_code::rate_limited &&
        m_queue.warm_up().is_limiting(m_timers.now())) {
        m_warm_up_context.m_stats->add("warm_up_refused_total");
    }
    if (decision.m_verdict == admission::verdict::queued) {
        m_queued_callbacks.emplace(facts.m_id, std::move(callbacks));
    }
    if (isolated && decision.m_verdict != admission::verdict::refused) {
        m_isolated_id = facts.m_id;
    }
    process_queue();
    return decision;
}

void owned_target::withdraw(std::uint64_t id)
{
    m_queued_callbacks.erase(id);
    if (!m_queue.withdraw(id)) {
        // It has been granted a slot and not been notified.
        add_grants(m_queue.finish(id, m_timers.now(), admission::request_end::aborted));
    }
    if (m_isolated_id == id) {
        m_isolated_id = 0;
    }
    process_queue();
}

void owned_target::release(std::uint64_t id, admission::request_end how)
{
    m_in_flight.erase(id);
    if (m_isolated_id == id) {
        m_isolated_id = 0;
    }
    add_grants(m_queue.finish(id, m_timers.now(), how));
    process_queue();
}

void owned_target::record_statement(const target_statement& statement, time_point handed_over)
{
    if (statement.m_is_leaving && !is_leaving()) {
        log_event(log_level::info, "target_leaving", {{"target", m_target.m_name}});
        m_leaving.record(m_target.m_started_ms, m_timers.now());
    }
    const bool was_limited = m_queue.stated_rate().has_value();
    m_queue.record_answer(statement.m_max_rate, handed_over, m_timers.now());
    const std::optional<double> rate = m_queue.stated_rate();
    if (rate.has_value() != was_limited) {
        log_event(log_level::info, rate ? "target_rate_limited" : "target_rate_unlimited",
                  {{"target", m_target.m_name}, {"per_second", rate.value_or(0)}});
    }
    process_queue();
}

void owned_target::mark_displaced()
{
    m_displaced_until = m_timers.now() + displacement_hold;
    // If this target is the one that responds afterwards, it has restarted.
    m_displacement_timer = m_timers.after(displacement_hold, [this] { suspect_restart(); });
}

void owned_target::add_grants(const std::vector<std::uint64_t>& ids)
{
    for (const std::uint64_t id : ids) {
        m_notifications.push_back({id, std::nullopt});
    }
}

void owned_target::add_refusals(const std::vector<std::uint64_t>& ids)
{
    for (const std::uint64_t id : ids) {
        if (m_isolated_id == id) {
            m_isolated_id = 0;
        }
        m_notifications.push_back({id, m_queue.retry_after(id)});
    }
}

void owned_target::notify_first()
{
    const notification first = m_notifications.front();
    m_notifications.pop_front();
    const auto callbacks = m_queued_callbacks.extract(first.m_id);
    if (!callbacks) {
        return;
    }
    // An exception of one request must not leave the call of another.
    guarded_call("request_failed", [&] {
        if (first.m_retry_after) {
            callbacks.mapped().m_refused(*first.m_retry_after);
        }
        else {
            callbacks.mapped().m_granted();
        }
    });
}

// A callback may release its slot at once, which grants the next request. The call for that one is
// left to the loop that is running: nested calls would use a fiber's stack for each queued request.
void owned_target::process_queue()
{
    m_is_queue_changed = true;
    if (m_is_processing) {
        return;
    }
    const auto end_processing = [](bool* is_processing) { *is_processing = false; };
    m_is_processing = true;
    const std::unique_ptr<bool, decltype(end_processing)> guard(&m_is_processing, end_processing);
    while (m_is_queue_changed || !m_notifications.empty()) {
        if (!m_notifications.empty()) {
            notify_first();
            continue;
        }
        m_is_queue_changed = false;
        const time_point now = m_timers.now();
        add_refusals(m_queue.expire(now));
        add_grants(m_queue.due_starts(now));
    }
    m_queue_timer.cancel();
    if (const auto next = m_queue.next_deadline()) {
        const duration delay = std::max<duration>(*next - m_timers.now(), milliseconds(1));
        m_queue_timer = m_timers.after(delay, [this] { process_queue(); });
    }
}

void owned_target::record_connect_failure(const reason& why)
{
    if (why.m_code == reason_code::unreachable || why.m_code == reason_code::timed_out) {
        suspect_restart();
    }
}

std::uint64_t owned_target::record_handover(std::uint64_t id, std::string fingerprint)
{
    if (m_probe && m_warm_up.m_rate > 0) {
        m_probe->record_start();
    }
    m_in_flight[id] = {m_epoch, std::move(fingerprint)};
    return m_epoch;
}

std::vector<std::string> owned_target::end_epoch(std::uint64_t epoch)
{
    if (epoch != m_epoch) {
        return {};
    }
    ++m_epoch;
    m_pool.clear();
    suspect_restart();
    std::vector<std::string> fingerprints;
    for (const auto& [id, request] : m_in_flight) {
        if (request.m_epoch == epoch) {
            fingerprints.push_back(request.m_fingerprint);
        }
    }
    return fingerprints;
}

// An exiting process closes its descriptors one after another: the connection of a request may be
// lost while the listener still accepts. A target that lives also closes connections, also all idle
// ones at once, so that what tells it is a connection opened after the loss: it stays open, and
// does not outlive a process that is exiting.
bool owned_target::detect_crash(std::uint64_t epoch)
{
    if (m_probe && m_warm_up.m_rate > 0) {
        m_probe->record_suspicion(false);
    }
    std::unique_ptr<client_connection> witness;
    bool has_lost_witness = false;
    for (const duration delay : probe_delays) {
        if (delay > duration::zero()) {
            sleep_for(delay);
        }
        if (epoch != m_epoch) {
            return true; // another request of the epoch has detected the crash
        }
        if (witness && !is_stale(*witness)) {
            continue;
        }
        has_lost_witness = has_lost_witness || witness;
        reason why;
        witness = connect(m_io, {m_target.m_host, m_target.m_port},
                          clock_type::now() + probe_timeout, why);
        if (!witness && why.m_code == reason_code::unreachable) {
            return true;
        }
        // The process may already be back.
        if (has_lost_witness && m_pool.has_lost_all_recently_used()) {
            return true;
        }
    }
    return false;
}

} // namespace pomelohead::forwarding
