// The model's owners and targets, around owner_machine and ticket_ledger.
#include "testing/request_model_state.h"

#include <algorithm>

namespace pomelohead::testing::detail {

bool model::is_owner_alive(const exchange& x) const
{
    return m_owners[x.m_owner].m_incarnation == x.m_incarnation;
}

std::string model::label(const exchange& x)
{
    return "exchange " + std::to_string(x.m_send) + "." + std::to_string(x.m_attempt);
}

handover_conditions model::facts(const exchange& x) const
{
    return {.m_deadline_passed = m_has_deadline_passed,
            .m_draining = m_owners[x.m_owner].m_draining,
            .m_owns_target = m_owners[x.m_owner].m_owns_target,
            .m_entry_connected = x.m_entry_open && m_sends[x.m_send].m_entry_alive};
}

void model::deliver_request(std::size_t i)
{
    exchange& x = m_exchanges[i];
    x.m_request_stage = request_stage::delivered;
    x.m_has_record = true;
    x.m_record.m_has_ticket = m_ticket.has_value();
    if (m_ticket) {
        apply_ticket_decision(i);
    }
}

void model::apply_ticket_decision(std::size_t i)
{
    exchange& x = m_exchanges[i];
    const ticket_decision decision = present_ticket(x);
    x.m_attached = decision.m_verdict == ticket_verdict::attach;
    if (decision.m_verdict == ticket_verdict::refuse ||
        decision.m_verdict == ticket_verdict::replay) {
        x.m_record.m_phase = owner_phase::finished;
        x.m_end = decision.m_end;
        x.m_answer = answer_stage::ended;
    }
}

ticket_decision model::present_ticket(const exchange& x)
{
    owner& o = m_owners[x.m_owner];
    const bool partial = is_disabled(mechanism::ticket_incarnation) ||
                         is_disabled(mechanism::ticket_owner) ||
                         is_disabled(mechanism::ticket_burnt);
    if (is_disabled(mechanism::ticket_ledger) || (partial && !o.m_serial_seen)) {
        o.m_serial_seen = true;
        return {ticket_verdict::run, {}, nullptr};
    }
    if (partial) {
        return {ticket_verdict::refuse, {verdict::unknown, cause::already_ran}, nullptr};
    }
    o.m_ledger_history += o.m_ledger_history.empty() ? "p" : "";
    return change_ledger(
        o, [&](ticket_ledger& ledger) { return ledger.present(*m_ticket, "digest", {}); });
}

void model::record_conclusion(const exchange& x, conclusion end)
{
    owner& o = m_owners[x.m_owner];
    if (is_disabled(mechanism::ticket_burnt) && end.m_outcome == verdict::not_run) {
        o.m_serial_seen = false;
    }
    o.m_ledger_history += static_cast<char>('0' + int(end.m_outcome));
    change_ledger(o, [&](ticket_ledger& ledger) {
        ledger.finish(m_ticket->m_serial, end, std::make_shared<stored_answer>(), {});
    });
}

void model::step_owner(std::size_t i, owner_event event)
{
    exchange& x = m_exchanges[i];
    if (is_disabled(mechanism::recheck_at_hand_over)) {
        event.m_facts = {};
    }
    if (is_disabled(mechanism::loss_is_unknown) && event.m_kind == owner_event_kind::target_lost) {
        event.m_kind = owner_event_kind::target_refused;
    }
    const owner_phase before = x.m_record.m_phase;
    const owner_step next = step(x.m_record, event);
    x.m_record = next.m_state;
    for (const owner_action& action : next.m_actions) {
        perform_owner_action(i, action);
    }
    if (is_disabled(mechanism::discard_for_good) && before <= owner_phase::queued &&
        x.m_record.m_phase == owner_phase::finished) {
        x.m_record.m_phase = before;
    }
}

void model::perform_owner_action(std::size_t i, const owner_action& action)
{
    exchange& x = m_exchanges[i];
    switch (action.m_kind) {
    case owner_action_kind::write_request:
        if (m_owners[x.m_owner].m_draining || !m_owners[x.m_owner].m_owns_target) {
            report_violation("new work for a leaving target");
        }
        x.m_target = target_stage::in_flight;
        return;
    case owner_action_kind::close_target:
        x.m_target_open = false;
        return;
    case owner_action_kind::answer:
        x.m_end = action.m_end;
        x.m_answer = answer_stage::ended;
        return;
    case owner_action_kind::close_entry:
        x.m_owner_open = false;
        return;
    case owner_action_kind::record:
        record_conclusion(x, action.m_end);
        return;
    default:
        return; // the model has no slots and no crash attribution
    }
}

void model::emit_owner_events(std::size_t i, const emit& out) const
{
    const exchange& x = m_exchanges[i];
    if (!is_owner_alive(x)) {
        return;
    }
    if (x.m_request_stage == request_stage::sent) {
        emit_step(out, label(x) + " arrives", [i](model& m) { m.deliver_request(i); });
    }
    if (!x.m_has_record || x.m_record.m_phase == owner_phase::finished) {
        return;
    }
    if (x.m_attached) {
        emit_step(out, label(x) + " looks for the other's end",
                  [i](model& m) { m.apply_ticket_decision(i); });
        return;
    }
    emit_admission_and_handover_events(i, out);
}

void model::emit_admission_and_handover_events(std::size_t i, const emit& out) const
{
    const exchange& x = m_exchanges[i];
    const handover_conditions now = facts(x);
    const auto feed = [&](const char* what, owner_event_kind kind, bool fault) {
        const auto change = [i, kind, now](model& m) {
            m.step_owner(i, {.m_kind = kind, .m_cause = cause::overloaded, .m_facts = now});
        };
        if (fault) {
            emit_fault(out, label(x) + what, change);
        }
        else {
            emit_step(out, label(x) + what, change);
        }
    };
    if (x.m_record.m_phase == owner_phase::arrived) {
        feed(" is queued", owner_event_kind::queued, false);
        feed(" is shed", owner_event_kind::refused, true);
    }
    if (x.m_record.m_phase == owner_phase::queued) {
        feed(" gets a slot", owner_event_kind::slot_granted, false);
    }
    if (x.m_record.m_phase == owner_phase::connecting) {
        feed(" is ready to be handed over", owner_event_kind::ready_to_write, false);
        feed(" gets its slot a second time", owner_event_kind::slot_granted, true);
        feed(" finds no target", owner_event_kind::connect_failed, true);
    }
    if (m_has_deadline_passed) {
        feed(": its owner sees the deadline", owner_event_kind::deadline, false);
    }
    if (now.m_draining || !now.m_owns_target) {
        feed(": its owner hears of the change", owner_event_kind::facts_changed, false);
    }
    if (!now.m_entry_connected && !x.m_record.m_entry_disconnected) {
        feed(": its owner sees the entry leave", owner_event_kind::entry_disconnected, false);
    }
}

void model::emit_target_events(std::size_t i, const emit& out) const
{
    const exchange& x = m_exchanges[i];
    const auto become = [&](const char* what, target_stage stage, bool fault) {
        const auto change = [i, stage](model& m) {
            exchange& y = m.m_exchanges[i];
            y.m_target = stage;
            m.m_runs[m.request_index(y.m_send)] += stage == target_stage::running ? 1 : 0;
        };
        if (fault) {
            emit_fault(out, label(x) + what, change);
        }
        else {
            emit_step(out, label(x) + what, change);
        }
    };
    // A connection that the owner has closed or lost may still run its request.
    if (x.m_target == target_stage::in_flight) {
        become(" runs", target_stage::running, false);
        become(" is declined unrun", target_stage::refused, true);
    }
    if (x.m_target == target_stage::running) {
        become(" has its answer", target_stage::answered, false);
        become(" has half an answer", target_stage::truncated, true);
        become(" crashes its target", target_stage::crashed, true);
    }
    if (x.m_target == target_stage::none || x.m_target == target_stage::consumed ||
        !x.m_target_open || !is_owner_alive(x)) {
        return;
    }
    if (x.m_target == target_stage::in_flight || x.m_target == target_stage::running) {
        emit_fault(out, label(x) + " loses its target", [i](model& m) {
            m.m_exchanges[i].m_target_open = false;
            m.step_owner(i, {.m_kind = owner_event_kind::target_lost});
        });
        return;
    }
    emit_step(out, label(x) + ": its owner hears the target",
              [i](model& m) { m.receive_target_result(i); });
    if (x.m_target != target_stage::refused && x.m_record.m_phase == owner_phase::handed_over) {
        emit_step(out, label(x) + " streams its answer", [i](model& m) {
            m.step_owner(i, {.m_kind = owner_event_kind::before_answer_write});
            m.m_exchanges[i].m_end = {verdict::complete, cause::none};
            m.m_exchanges[i].m_answer = answer_stage::headers_ready;
        });
    }
}

void model::receive_target_result(std::size_t i)
{
    exchange& x = m_exchanges[i];
    const target_stage stage = std::exchange(x.m_target, target_stage::consumed);
    switch (stage) {
    case target_stage::refused:
        step_owner(i, {.m_kind = owner_event_kind::target_refused});
        return;
    case target_stage::answered:
        if (x.m_answer == answer_stage::headers_ready) {
            x.m_answer = answer_stage::ended;
        }
        if (x.m_answer == answer_stage::headers_read) {
            x.m_answer = answer_stage::stream_ended;
        }
        step_owner(i, {.m_kind = owner_event_kind::answer_complete});
        return;
    case target_stage::truncated:
        step_owner(i,
                   {.m_kind = owner_event_kind::target_lost, .m_cause = cause::truncated_answer});
        return;
    default:
        step_owner(i, {.m_kind = owner_event_kind::target_lost, .m_cause = cause::target_crashed});
        return;
    }
}

} // namespace pomelohead::testing::detail
