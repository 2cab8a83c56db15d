// The model's caller and entries, around entry_machine.
#include "testing/request_model_state.h"

#include <algorithm>

namespace pomelohead::testing::detail {

void model::begin_send()
{
    m_sends.emplace_back();
    m_sends.back().m_entry = make_entry_state({.m_idempotent = m_options.m_idempotent,
                                               .m_has_ticket = m_ticket.has_value(),
                                               .m_max_attempts = owner_count});
    choose_owner(m_sends.size() - 1);
}

void model::choose_owner(std::size_t s)
{
    std::size_t chosen = m_sends[s].m_entry.m_attempts.size();
    if (m_ticket) {
        // Without the mechanism the second entry's version names another owner.
        chosen = is_disabled(mechanism::ticket_owner) ? s : 0;
    }
    if (chosen >= owner_count) {
        step_entry(s, {.m_kind = entry_event_kind::no_owner});
        return;
    }
    m_exchanges.push_back({.m_send = s,
                           .m_attempt = m_sends[s].m_entry.m_attempts.size(),
                           .m_owner = chosen,
                           .m_incarnation = m_owners[chosen].m_incarnation});
    step_entry(s, {.m_kind = entry_event_kind::owner_chosen});
}

void model::step_entry(std::size_t s, entry_event event)
{
    if (!m_sends[s].m_entry_alive) {
        return;
    }
    entry_state before = m_sends[s].m_entry;
    if (is_disabled(mechanism::no_byte_no_doubt) &&
        event.m_kind == entry_event_kind::connection_lost) {
        event.m_kind = entry_event_kind::connect_failed;
    }
    if (is_disabled(mechanism::idempotent_only)) {
        before.m_facts.m_idempotent = true;
    }
    if (is_disabled(mechanism::ticket_entry_silent)) {
        before.m_facts.m_has_ticket = false;
    }
    if (is_disabled(mechanism::cut_when_begun)) {
        before.m_answer_started = false;
    }
    if (is_disabled(mechanism::one_answer)) {
        before.m_finished = false;
    }
    const entry_step next = step(before, event);
    m_sends[s].m_entry = next.m_state;
    for (const entry_action& action : next.m_actions) {
        perform_entry_action(s, action);
    }
}

void model::perform_entry_action(std::size_t s, const entry_action& action)
{
    switch (action.m_kind) {
    case entry_action_kind::choose_owner:
        choose_owner(s);
        return;
    case entry_action_kind::forward_answer:
        start_answer_stream(s, action.m_attempt);
        return;
    case entry_action_kind::abandon:
        find_exchange(s, action.m_attempt).m_entry_open = false;
        return;
    case entry_action_kind::answer:
        report_conclusion(s, action.m_end);
        return;
    case entry_action_kind::close_caller:
        m_sends[s].m_caller_connected = false;
        return;
    }
}

exchange& model::find_exchange(std::size_t s, std::size_t attempt)
{
    return *std::ranges::find_if(
        m_exchanges, [&](const exchange& x) { return x.m_send == s && x.m_attempt == attempt; });
}

void model::report_conclusion(std::size_t s, conclusion end)
{
    if (m_sends[s].m_conclusion ||
        (m_sends[s].m_streamed_attempt && end.m_outcome != verdict::complete)) {
        report_violation("answered twice");
    }
    m_sends[s].m_conclusion = end;
}

void model::start_answer_stream(std::size_t s, std::size_t attempt)
{
    if (m_sends[s].m_streamed_attempt && *m_sends[s].m_streamed_attempt != attempt) {
        report_violation("an answer of two parts");
    }
    m_sends[s].m_streamed_attempt = attempt;
    step_entry(s, {.m_kind = entry_event_kind::before_answer_write, .m_attempt = attempt});
    if (find_exchange(s, attempt).m_answer == answer_stage::ended) {
        finish_answer(s, attempt);
    }
    else {
        find_exchange(s, attempt).m_answer = answer_stage::headers_read;
    }
}

void model::finish_answer(std::size_t s, std::size_t attempt)
{
    report_conclusion(s, {verdict::complete, cause::none});
    step_entry(s, {.m_kind = entry_event_kind::answer_sent, .m_attempt = attempt});
}

void model::emit_global_events(const emit& out) const
{
    if (!m_has_deadline_passed) {
        emit_step(out, "the deadline passes", [](model& m) { m.m_has_deadline_passed = true; });
    }
    if (m_sends.size() < m_options.m_sends) {
        emit_step(out, "caller sends again", [](model& m) { m.begin_send(); });
    }
    for (std::size_t s = 0; s < m_sends.size(); ++s) {
        emit_send_events(s, out);
    }
    for (std::size_t o = 0; o < owner_count; ++o) {
        emit_process_events(o, out);
    }
}

void model::emit_send_events(std::size_t s, const emit& out) const
{
    const send& now = m_sends[s];
    const std::string name = "entry " + std::to_string(s);
    if (!now.m_entry_alive || now.m_entry.m_finished) {
        return;
    }
    if (m_has_deadline_passed) {
        emit_step(out, name + " sees the deadline",
                  [&](model& m) { m.step_entry(s, {.m_kind = entry_event_kind::deadline}); });
    }
    emit_fault(out, name + " crashes", [&](model& m) { m.m_sends[s].m_entry_alive = false; });
    emit_fault(out, name + " loses its caller", [&](model& m) {
        m.m_sends[s].m_caller_connected = false;
        m.step_entry(s, {.m_kind = entry_event_kind::caller_disconnected});
    });
    if (can_hedge(now.m_entry) && now.m_entry.m_attempts.size() == 1) {
        emit_step(out, name + " hedges", [&](model& m) { m.choose_owner(s); });
    }
}

void model::emit_process_events(std::size_t o, const emit& out) const
{
    const std::string name = "owner " + std::to_string(o);
    if (!is_in_use(o)) {
        return;
    }
    if (m_owners[o].m_incarnation == 1) {
        emit_fault(out, name + " restarts", [&](model& m) {
            owner& now = m.m_owners[o];
            ++now.m_incarnation;
            now.m_serial_seen = false;
            now.m_ledger = std::make_shared<ticket_ledger>(make_ledger(o, now.m_incarnation));
            now.m_ledger_history.clear();
        });
    }
    if (!m_owners[o].m_draining) {
        emit_fault(out, name + " drains", [&](model& m) { m.m_owners[o].m_draining = true; });
    }
    if (m_owners[o].m_owns_target) {
        emit_fault(out, name + " gets a version without its target",
                   [&](model& m) { m.m_owners[o].m_owns_target = false; });
    }
}

void model::emit_entry_events(std::size_t i, const emit& out) const
{
    const exchange& x = m_exchanges[i];
    const std::string name = label(x);
    if (!m_sends[x.m_send].m_entry_alive || !x.m_entry_open) {
        emit_abandoned_events(i, out);
        return;
    }
    const auto lost = [i](model& m) {
        exchange& y = m.m_exchanges[i];
        y.m_entry_open = false;
        m.step_entry(y.m_send,
                     {.m_kind = entry_event_kind::connection_lost, .m_attempt = y.m_attempt});
    };
    if (x.m_request_stage == request_stage::connecting) {
        if (is_owner_alive(x)) {
            emit_step(out, name + " writes", [i](model& m) { m.write(i); });
        }
        emit_fault(out, name + " gets no connection", [i](model& m) {
            m.m_exchanges[i].m_entry_open = false;
            m.m_exchanges[i].m_request_stage = request_stage::closed;
            m.step_entry(m.m_exchanges[i].m_send, {.m_kind = entry_event_kind::connect_failed,
                                                   .m_attempt = m.m_exchanges[i].m_attempt});
        });
    }
    if (!is_owner_alive(x) || !x.m_owner_open) {
        emit_step(out, name + " is lost to the entry", lost);
    }
    else {
        emit_fault(out, name + " is cut", lost);
    }
    if (x.m_answer == answer_stage::ended || x.m_answer == answer_stage::headers_ready ||
        x.m_answer == answer_stage::stream_ended) {
        emit_step(out, name + " brings an answer", [i](model& m) { m.receive_answer(i, 1); });
        emit_fault(out, name + " brings an answer twice",
                   [i](model& m) { m.receive_answer(i, 2); });
    }
}

// Without the mechanism, the late answer of an abandoned exchange is read by
// the next request on the same connection.
void model::emit_abandoned_events(std::size_t i, const emit& out) const
{
    const exchange& x = m_exchanges[i];
    if (!is_disabled(mechanism::close_abandoned) || x.m_answer != answer_stage::ended) {
        return;
    }
    for (std::size_t j = i + 1; j < m_exchanges.size(); ++j) {
        const exchange& y = m_exchanges[j];
        if (y.m_owner == x.m_owner && y.m_entry_open &&
            y.m_request_stage != request_stage::connecting) {
            emit_step(out, label(y) + " reads the answer of " + label(x),
                      [&](model& m) { m.report_violation("a foreign answer"); });
        }
    }
}

void model::write(std::size_t i)
{
    exchange& x = m_exchanges[i];
    x.m_request_stage = request_stage::sent;
    if (!is_disabled(mechanism::note_before_write)) {
        step_entry(x.m_send,
                   {.m_kind = entry_event_kind::before_request_write, .m_attempt = x.m_attempt});
    }
}

void model::receive_answer(std::size_t i, int times)
{
    exchange& x = m_exchanges[i];
    if (x.m_answer == answer_stage::stream_ended) {
        x.m_answer = answer_stage::none;
        x.m_entry_open = false;
        finish_answer(x.m_send, x.m_attempt);
        return;
    }
    entry_event event{.m_attempt = x.m_attempt, .m_cause = x.m_end.m_cause};
    event.m_kind = entry_event_kind::owner_complete;
    if (x.m_end.m_outcome == verdict::not_run) {
        event.m_kind = entry_event_kind::owner_not_run;
    }
    if (x.m_end.m_outcome == verdict::unknown) {
        event.m_kind = entry_event_kind::owner_unknown;
    }
    const bool streamed = x.m_answer == answer_stage::headers_ready;
    x.m_entry_open = streamed || is_disabled(mechanism::one_answer);
    const std::size_t s = x.m_send;
    for (int time = 0; time < times; ++time) {
        step_entry(s, event);
    }
    if (!streamed) {
        m_exchanges[i].m_answer =
            is_disabled(mechanism::one_answer) ? answer_stage::ended : answer_stage::none;
    }
}

} // namespace pomelohead::testing::detail
