// can_retry() alone decides whether another owner may be tried. A request whose attempts
// all ended as not run may be retried even if it is not idempotent; one that may have run
// only if it is.
#include "pomelohead/outcome/entry_machine.h"

#include <algorithm>

namespace pomelohead::outcome {
namespace {

// The one-way latency between failure domains is about 1.5 ms. The margin covers it and
// some queueing, but is at most a tenth of the remaining time.
constexpr std::chrono::milliseconds deadline_margin{10};
constexpr int deadline_margin_divisor = 10;

bool is_in_progress(attempt_phase phase)
{
    return phase == attempt_phase::connecting || phase == attempt_phase::written ||
           phase == attempt_phase::answering;
}

// After the first crash the request must run alone; after the second it is not retried.
constexpr std::size_t max_target_crashes = 2;

// Whether every other owner would refuse the request for the same cause, because the cause
// lies in the request itself. Owners replicate quarantine marks to each other.
bool is_refused_by_every_owner(cause why)
{
    return why == cause::quarantined || why == cause::malformed_request ||
           why == cause::body_too_large || why == cause::headers_too_large ||
           why == cause::deadline || why == cause::outdated_configuration;
}

attempt_phase phase_after_loss(attempt_phase phase)
{
    return phase == attempt_phase::connecting ? attempt_phase::not_sent : attempt_phase::unknown;
}

bool may_have_run(const entry_state& state)
{
    return std::ranges::any_of(state.m_attempts, [](attempt_phase phase) {
        return phase == attempt_phase::written || phase == attempt_phase::answering ||
               phase == attempt_phase::unknown;
    });
}

// Whether one more target may run the request, in addition to those that may have run it.
bool is_below_target_limit(const entry_state& state)
{
    const auto targets = std::ranges::count_if(state.m_attempts, [](attempt_phase phase) {
        return phase != attempt_phase::not_sent && phase != attempt_phase::not_run;
    });
    return state.m_facts.m_max_targets == 0 ||
           static_cast<std::size_t>(targets) < state.m_facts.m_max_targets;
}

class transition {
public:
    explicit transition(const entry_state& state) : m_step{state, {}} {}

    entry_step apply(const entry_event& event)
    {
        if (!m_step.m_state.m_finished) {
            handle(event);
        }
        return std::move(m_step);
    }

private:
    entry_state& state() { return m_step.m_state; }

    void add_action(entry_action_kind kind, std::size_t attempt = 0, conclusion end = {})
    {
        m_step.m_actions.push_back({kind, attempt, end});
    }

    void handle(const entry_event& event)
    {
        switch (event.m_kind) {
        case entry_event_kind::owner_chosen:
            if (std::ranges::any_of(state().m_attempts, is_in_progress)) {
                state().m_hedge = state().m_attempts.size();
            }
            state().m_attempts.push_back(attempt_phase::connecting);
            return;
        case entry_event_kind::refused:
            finish_with(event.m_cause);
            return;
        case entry_event_kind::no_owner:
            finish_unless_in_progress(state().m_attempts.empty() ? cause::no_owner
                                                                 : state().m_last_cause);
            return;
        case entry_event_kind::retry_refused:
            finish_unless_in_progress(cause::retry_refused);
            return;
        case entry_event_kind::body_not_replayable:
            state().m_body_replayable = false;
            return;
        case entry_event_kind::before_answer_write:
            state().m_answer_started = true;
            return;
        case entry_event_kind::answer_sent:
            state().m_finished = true;
            return;
        case entry_event_kind::deadline:
            finish_with(cause::deadline);
            return;
        case entry_event_kind::caller_disconnected:
            abandon_all();
            state().m_finished = true;
            return;
        default:
            handle_attempt(event);
            return;
        }
    }

    void handle_attempt(const entry_event& event)
    {
        const std::size_t attempt = event.m_attempt;
        if (attempt >= state().m_attempts.size() || !is_in_progress(state().m_attempts[attempt])) {
            return;
        }
        switch (event.m_kind) {
        case entry_event_kind::before_request_write:
            state().m_attempts[attempt] = attempt_phase::written;
            return;
        case entry_event_kind::owner_complete:
            select_winner(attempt);
            return;
        case entry_event_kind::connect_failed:
            end_attempt(attempt, attempt_phase::not_sent, cause::no_owner);
            return;
        case entry_event_kind::owner_not_run:
            end_attempt(attempt, attempt_phase::not_run, event.m_cause);
            return;
        case entry_event_kind::owner_unknown:
            end_attempt(attempt, attempt_phase::unknown, event.m_cause);
            return;
        case entry_event_kind::connection_lost:
            end_attempt(attempt, phase_after_loss(state().m_attempts[attempt]),
                        event.m_cause == cause::none ? cause::connection_lost : event.m_cause);
            return;
        default:
            return;
        }
    }

    void select_winner(std::size_t attempt)
    {
        for (std::size_t other = 0; other < state().m_attempts.size(); ++other) {
            if (other != attempt) {
                abandon(other);
            }
        }
        state().m_attempts[attempt] = attempt_phase::answering;
        add_action(entry_action_kind::forward_answer, attempt);
    }

    void abandon(std::size_t attempt)
    {
        if (!is_in_progress(state().m_attempts[attempt])) {
            return;
        }
        state().m_attempts[attempt] = phase_after_loss(state().m_attempts[attempt]);
        add_action(entry_action_kind::abandon, attempt);
    }

    void abandon_all()
    {
        for (std::size_t attempt = 0; attempt < state().m_attempts.size(); ++attempt) {
            abandon(attempt);
        }
    }

    void end_attempt(std::size_t attempt, attempt_phase phase, cause why)
    {
        state().m_attempts[attempt] = phase;
        // The refusal of a hedge says nothing about the request, which its owner might have queued:
        // what becomes of the request follows from its other attempts alone.
        const bool is_refused_hedge =
            attempt == state().m_hedge &&
            (phase == attempt_phase::not_run || phase == attempt_phase::not_sent);
        if (!is_refused_hedge) {
            state().m_last_ended = attempt;
            state().m_last_cause = why;
        }
        state().m_crashes += why == cause::target_crashed ? 1 : 0;
        if (phase == attempt_phase::unknown && state().m_first_unknown_cause == cause::none) {
            state().m_first_unknown_cause = why;
        }
        if (state().m_answer_started) {
            add_action(entry_action_kind::close_caller);
            state().m_finished = true;
            return;
        }
        if (std::ranges::any_of(state().m_attempts, is_in_progress)) {
            return; // another attempt is still in progress
        }
        if (can_retry()) {
            add_action(entry_action_kind::choose_owner);
            return;
        }
        finish_with(state().m_last_cause);
    }

    bool can_retry()
    {
        const entry_state& now = state();
        // No owner other than the ticket's may run a request with a ticket.
        if (now.m_facts.m_has_ticket || !now.m_body_replayable ||
            is_refused_by_every_owner(now.m_last_cause) ||
            now.m_attempts.size() >= now.m_facts.m_max_attempts ||
            now.m_crashes >= max_target_crashes || !is_below_target_limit(now)) {
            return false;
        }
        return now.m_facts.m_idempotent || !may_have_run(now);
    }

    void finish_unless_in_progress(cause why)
    {
        if (std::ranges::none_of(state().m_attempts, is_in_progress)) {
            finish_with(why);
        }
    }

    void finish_with(cause why)
    {
        const bool answer_begun = state().m_answer_started;
        const conclusion end = conclude(state(), why);
        abandon_all();
        if (answer_begun) {
            add_action(entry_action_kind::close_caller);
        }
        else {
            add_action(entry_action_kind::answer, 0, end);
        }
        state().m_finished = true;
    }

    entry_step m_step;
};

} // namespace

entry_state make_entry_state(const entry_facts& facts)
{
    entry_state state;
    state.m_facts = facts;
    return state;
}

entry_step step(const entry_state& state, const entry_event& event)
{
    return transition(state).apply(event);
}

bool must_run_alone(const entry_state& state)
{
    return state.m_crashes > 0;
}

bool can_hedge(const entry_state& state)
{
    return state.m_facts.m_idempotent && !state.m_facts.m_has_ticket && state.m_body_replayable &&
           !state.m_hedge && !must_run_alone(state) &&
           std::ranges::any_of(state.m_attempts, is_in_progress) && !state.m_answer_started &&
           !state.m_finished && state.m_attempts.size() < state.m_facts.m_max_attempts &&
           is_below_target_limit(state) &&
           std::ranges::find(state.m_attempts, attempt_phase::answering) == state.m_attempts.end();
}

conclusion conclude(const entry_state& state, cause why)
{
    if (state.m_facts.m_has_ticket) {
        // A resend with the same ticket may be running, and only the owner knows that none
        // will. A malformed ticket was not issued by any node, so it has never run.
        const bool never_issued = why == cause::malformed_ticket;
        const bool owner_refused =
            state.m_attempts.size() == 1 && state.m_attempts[0] == attempt_phase::not_run;
        return {never_issued || owner_refused ? outcome::not_run : outcome::unknown, why};
    }
    if (may_have_run(state)) {
        const bool in_time = why != cause::deadline && state.m_first_unknown_cause != cause::none;
        return {outcome::unknown, in_time ? state.m_first_unknown_cause : why};
    }
    return {outcome::not_run, why};
}

std::chrono::milliseconds forwarded_time_left(std::chrono::milliseconds left)
{
    return left - std::min(deadline_margin, left / deadline_margin_divisor);
}

} // namespace pomelohead::outcome
