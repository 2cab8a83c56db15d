// A request ends in one of two ways. Before the handover it ends as not run and is
// discarded; after it, only the target's reply decides, and a loss ends as unknown. Each
// event is checked against the current phase, so late and duplicate events have no effect.
#include "pomelohead/outcome/owner_machine.h"

namespace pomelohead::outcome {
namespace {

class transition {
public:
    explicit transition(const owner_state& state) : m_step{state, {}} {}

    owner_step apply(const owner_event& event)
    {
        if (phase() == owner_phase::finished) {
            return std::move(m_step);
        }
        if (is_before_handover(phase())) {
            handle_before_handover(event);
        }
        else {
            handle_after_handover(event);
        }
        return std::move(m_step);
    }

private:
    [[nodiscard]] owner_phase phase() const { return m_step.m_state.m_phase; }
    void set_phase(owner_phase phase) { m_step.m_state.m_phase = phase; }
    void add_action(owner_action_kind kind, conclusion end = {})
    {
        m_step.m_actions.push_back({kind, end});
    }

    void handle_before_handover(const owner_event& event)
    {
        switch (event.m_kind) {
        case owner_event_kind::refused:
            discard(event.m_cause);
            return;
        case owner_event_kind::queued:
            if (phase() == owner_phase::arrived) {
                set_phase(owner_phase::queued);
            }
            return;
        case owner_event_kind::slot_granted:
            start_connecting(event.m_facts);
            return;
        case owner_event_kind::ready_to_write:
            hand_over(event.m_facts);
            return;
        case owner_event_kind::facts_changed:
            if (const std::optional<cause> why = refusal_cause(event.m_facts)) {
                discard_unless_continuing(*why);
            }
            return;
        case owner_event_kind::connect_failed:
            if (phase() == owner_phase::connecting) {
                discard(cause::target_unreachable);
            }
            return;
        case owner_event_kind::deadline:
            discard(cause::deadline);
            return;
        case owner_event_kind::entry_disconnected:
            m_step.m_state.m_entry_disconnected = true;
            discard_unless_continuing(cause::caller_left);
            return;
        default:
            return; // events of the target, which has not received the request
        }
    }

    void handle_after_handover(const owner_event& event)
    {
        switch (event.m_kind) {
        case owner_event_kind::target_refused:
            if (phase() == owner_phase::handed_over) {
                add_action(owner_action_kind::release_slot);
                finish({outcome::not_run,
                        event.m_cause == cause::none ? cause::target_refused : event.m_cause});
            }
            return;
        case owner_event_kind::target_lost:
            if (event.m_cause == cause::target_crashed) {
                add_action(owner_action_kind::report_crash);
            }
            fail(event.m_cause == cause::none ? cause::target_lost : event.m_cause);
            return;
        case owner_event_kind::before_answer_write:
            set_phase(owner_phase::answering);
            return;
        case owner_event_kind::answer_complete:
            add_action(owner_action_kind::release_slot);
            finish({outcome::complete, cause::none});
            return;
        case owner_event_kind::deadline:
            fail(cause::deadline);
            return;
        case owner_event_kind::entry_disconnected:
            m_step.m_state.m_entry_disconnected = true;
            if (!m_step.m_state.m_has_ticket) {
                fail(cause::caller_left);
            }
            return;
        default:
            return; // a drain or a version change does not affect a running request
        }
    }

    void start_connecting(const handover_conditions& facts)
    {
        if (phase() == owner_phase::connecting) {
            return;
        }
        set_phase(owner_phase::connecting);
        if (const std::optional<cause> why = refusal_cause(facts)) {
            if (!continues_without_caller(*why)) {
                discard(*why);
                return;
            }
        }
        add_action(owner_action_kind::connect_target);
    }

    void hand_over(const handover_conditions& facts)
    {
        if (phase() != owner_phase::connecting) {
            return;
        }
        if (const std::optional<cause> why = refusal_cause(facts)) {
            if (!continues_without_caller(*why)) {
                discard(*why);
                return;
            }
        }
        set_phase(owner_phase::handed_over);
        add_action(owner_action_kind::write_request);
    }

    // A caller with a ticket may disconnect and resend to get the outcome.
    [[nodiscard]] bool continues_without_caller(cause why) const
    {
        return why == cause::caller_left && m_step.m_state.m_has_ticket;
    }

    void discard_unless_continuing(cause why)
    {
        if (!continues_without_caller(why)) {
            discard(why);
        }
    }

    void discard(cause why)
    {
        if (phase() == owner_phase::connecting) {
            add_action(owner_action_kind::close_target);
            add_action(owner_action_kind::release_slot);
        }
        if (phase() == owner_phase::queued) {
            add_action(owner_action_kind::withdraw);
        }
        finish({outcome::not_run, why});
    }

    void fail(cause why)
    {
        add_action(owner_action_kind::close_target);
        add_action(owner_action_kind::release_slot);
        finish({outcome::unknown, why});
    }

    void finish(conclusion end)
    {
        if (m_step.m_state.m_has_ticket) {
            add_action(owner_action_kind::record, end);
        }
        if (phase() != owner_phase::answering) {
            add_action(owner_action_kind::answer, end);
        }
        else if (end.m_outcome != outcome::complete) {
            add_action(owner_action_kind::close_entry);
        }
        m_step.m_state.m_end = end;
        set_phase(owner_phase::finished);
    }

    owner_step m_step;
};

} // namespace

bool is_before_handover(owner_phase phase)
{
    return phase == owner_phase::arrived || phase == owner_phase::queued ||
           phase == owner_phase::connecting;
}

std::optional<cause> refusal_cause(const handover_conditions& facts)
{
    if (facts.m_deadline_passed) {
        return cause::deadline;
    }
    if (!facts.m_owns_target) {
        return cause::misdirected;
    }
    if (facts.m_draining) {
        return cause::draining;
    }
    if (facts.m_quarantined) {
        return cause::quarantined;
    }
    if (!facts.m_entry_connected) {
        return cause::caller_left;
    }
    return std::nullopt;
}

owner_step step(const owner_state& state, const owner_event& event)
{
    return transition(state).apply(event);
}

} // namespace pomelohead::outcome
