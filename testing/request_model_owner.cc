// The model's owners and targets: owner_machine and ticket_ledger with the shell's part.
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

handover_facts model::facts(const exchange& x) const
{
    return {.m_deadline_passed = m_time_over,
            .m_draining = m_owners[x.m_owner].m_draining,
            .m_owns_target = m_owners[x.m_owner].m_owns_target,
            .m_entry_present = x.m_entry_open && m_sends[x.m_send].m_entry_alive};
}

void model::arrive(std::size_t i)
{
    exchange& x = m_exchanges[i];
    x.m_wire = wire::delivered;
    x.m_has_record = true;
    x.m_record.m_has_ticket = m_ticket.has_value();
    if (m_ticket) {
        judge_ticket(i);
    }
}

void model::judge_ticket(std::size_t i)
{
    exchange& x = m_exchanges[i];
    const ticket_decision decision = present(x);
    x.m_attached = decision.m_verdict == ticket_verdict::attach;
    if (decision.m_verdict == ticket_verdict::refuse ||
        decision.m_verdict == ticket_verdict::replay) {
        x.m_record.m_phase = owner_phase::finished;
        x.m_end = decision.m_end;
        x.m_answer = answer_stage::ended;
    }
}

ticket_decision model::present(const exchange& x)
{
    owner& o = m_owners[x.m_owner];
    const bool partial = lacks(mechanism::ticket_incarnation) || lacks(mechanism::ticket_owner) ||
                         lacks(mechanism::ticket_burnt);
    if (lacks(mechanism::ticket_ledger) || (partial && !o.m_seen)) {
        o.m_seen = true;
        return {ticket_verdict::run, {}, nullptr};
    }
    if (partial) {
        return {ticket_verdict::refuse, {verdict::unknown, cause::already_ran}, nullptr};
    }
    o.m_ledger_history += o.m_ledger_history.empty() ? "p" : "";
    return change_ledger(
        o, [&](ticket_ledger& ledger) { return ledger.present(*m_ticket, "digest", {}); });
}

void model::record(const exchange& x, conclusion end)
{
    owner& o = m_owners[x.m_owner];
    if (lacks(mechanism::ticket_burnt) && end.m_outcome == verdict::not_run) {
        o.m_seen = false;
    }
    o.m_ledger_history += static_cast<char>('0' + int(end.m_outcome));
    change_ledger(o, [&](ticket_ledger& ledger) {
        ledger.finish(m_ticket->m_serial, end, std::make_shared<kept_answer>(), {});
    });
}

void model::feed_owner(std::size_t i, owner_event event)
{
    exchange& x = m_exchanges[i];
    if (lacks(mechanism::recheck_at_hand_over)) {
        event.m_facts = {};
    }
    if (lacks(mechanism::loss_is_unknown) && event.m_kind == owner_event_kind::target_lost) {
        event.m_kind = owner_event_kind::target_refused;
    }
    const owner_phase before = x.m_record.m_phase;
    const owner_step next = step(x.m_record, event);
    x.m_record = next.m_state;
    for (const owner_action& action : next.m_actions) {
        act_owner(i, action);
    }
    if (lacks(mechanism::discard_for_good) && before <= owner_phase::queued &&
        x.m_record.m_phase == owner_phase::finished) {
        x.m_record.m_phase = before;
    }
}

void model::act_owner(std::size_t i, const owner_action& action)
{
    exchange& x = m_exchanges[i];
    switch (action.m_kind) {
    case owner_action_kind::write_request:
        if (m_owners[x.m_owner].m_draining || !m_owners[x.m_owner].m_owns_target) {
            fail("new work for a leaving target");
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
    case owner_action_kind::cut_entry:
        x.m_owner_open = false;
        return;
    case owner_action_kind::record:
        record(x, action.m_end);
        return;
    default:
        return; // slots and the blame for crashes are no part of the model
    }
}

void model::next_owner_side(std::size_t i, const emit& out) const
{
    const exchange& x = m_exchanges[i];
    if (!is_owner_alive(x)) {
        return;
    }
    if (x.m_wire == wire::request) {
        emit_step(out, label(x) + " arrives", [i](model& m) { m.arrive(i); });
    }
    if (!x.m_has_record || x.m_record.m_phase == owner_phase::finished) {
        return;
    }
    if (x.m_attached) {
        emit_step(out, label(x) + " looks for the other's end",
                  [i](model& m) { m.judge_ticket(i); });
        return;
    }
    next_owner_events(i, out);
}

void model::next_owner_events(std::size_t i, const emit& out) const
{
    const exchange& x = m_exchanges[i];
    const handover_facts now = facts(x);
    const auto feed = [&](const char* what, owner_event_kind kind, bool fault) {
        const auto change = [i, kind, now](model& m) {
            m.feed_owner(i, {.m_kind = kind, .m_cause = cause::overloaded, .m_facts = now});
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
    if (m_time_over) {
        feed(": its owner sees the deadline", owner_event_kind::deadline, false);
    }
    if (now.m_draining || !now.m_owns_target) {
        feed(": its owner hears of the change", owner_event_kind::facts_changed, false);
    }
    if (!now.m_entry_present && !x.m_record.m_entry_gone) {
        feed(": its owner sees the entry leave", owner_event_kind::entry_left, false);
    }
}

void model::next_target_side(std::size_t i, const emit& out) const
{
    const exchange& x = m_exchanges[i];
    const auto become = [&](const char* what, target_stage stage, bool fault) {
        const auto change = [i, stage](model& m) {
            exchange& y = m.m_exchanges[i];
            y.m_target = stage;
            m.m_runs[m.request_of(y.m_send)] += stage == target_stage::running ? 1 : 0;
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
        become(" has its answer", target_stage::whole, false);
        become(" has half an answer", target_stage::broken, true);
        become(" crashes its target", target_stage::crashed, true);
    }
    if (x.m_target == target_stage::none || x.m_target == target_stage::heard || !x.m_target_open ||
        !is_owner_alive(x)) {
        return;
    }
    if (x.m_target == target_stage::in_flight || x.m_target == target_stage::running) {
        emit_fault(out, label(x) + " loses its target", [i](model& m) {
            m.m_exchanges[i].m_target_open = false;
            m.feed_owner(i, {.m_kind = owner_event_kind::target_lost});
        });
        return;
    }
    emit_step(out, label(x) + ": its owner hears the target", [i](model& m) { m.hear(i); });
    if (x.m_target != target_stage::refused && x.m_record.m_phase == owner_phase::handed_over) {
        emit_step(out, label(x) + " streams its answer", [i](model& m) {
            m.feed_owner(i, {.m_kind = owner_event_kind::answer_begins});
            m.m_exchanges[i].m_end = {verdict::complete, cause::none};
            m.m_exchanges[i].m_answer = answer_stage::head;
        });
    }
}

void model::hear(std::size_t i)
{
    exchange& x = m_exchanges[i];
    const target_stage stage = std::exchange(x.m_target, target_stage::heard);
    switch (stage) {
    case target_stage::refused:
        feed_owner(i, {.m_kind = owner_event_kind::target_refused});
        return;
    case target_stage::whole:
        if (x.m_answer == answer_stage::head) {
            x.m_answer = answer_stage::ended;
        }
        if (x.m_answer == answer_stage::head_taken) {
            x.m_answer = answer_stage::stream_ended;
        }
        feed_owner(i, {.m_kind = owner_event_kind::answer_whole});
        return;
    case target_stage::broken:
        feed_owner(i, {.m_kind = owner_event_kind::target_lost, .m_cause = cause::short_answer});
        return;
    default:
        feed_owner(i, {.m_kind = owner_event_kind::target_lost, .m_cause = cause::target_crashed});
        return;
    }
}

} // namespace pomelohead::testing::detail
