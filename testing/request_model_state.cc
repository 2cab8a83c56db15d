// State keys, invariants and enumeration of successors.
#include "testing/request_model_state.h"

#include <algorithm>

namespace pomelohead::testing::detail {
namespace {

owner make_owner(std::size_t index)
{
    return {.m_ledger = std::make_shared<ticket_ledger>(make_ledger(index, 1))};
}

} // namespace

ticket_ledger make_ledger(std::size_t index, std::uint64_t incarnation)
{
    return {{.m_max_started_flags = 4}, "127.0.0." + std::to_string(index + 1), incarnation, [] {
                return std::uint64_t{5};
            }};
}

model::model(const model_options& options)
    : m_options(options), m_owners{make_owner(0), make_owner(1)}
{
    if (options.m_has_ticket) {
        reason why;
        m_ticket = change_ledger(
            m_owners[0], [&](ticket_ledger& ledger) { return ledger.issue("rota-1", {}, why); });
    }
    m_runs.resize(options.m_has_ticket ? 1 : options.m_sends);
    begin_send();
}

void model::emit_successors(const emit& out) const
{
    emit_global_events(out);
    for (std::size_t i = 0; i < m_exchanges.size(); ++i) {
        emit_entry_events(i, out);
        emit_owner_events(i, out);
        emit_target_events(i, out);
    }
}

bool model::has_reported(verdict value) const
{
    return std::ranges::any_of(m_sends, [&](const send& s) {
        return s.m_conclusion && s.m_conclusion->m_outcome == value;
    });
}

std::string model::key() const
{
    std::string text;
    const auto add = [&text](auto value) { text += static_cast<char>('0' + int(value)); };
    add(m_violation.empty());
    add(m_has_deadline_passed);
    add(m_faults);
    for (const int runs : m_runs) {
        add(runs);
    }
    for (const owner& o : m_owners) {
        add(o.m_incarnation);
        add(o.m_draining);
        add(o.m_owns_target);
        add(o.m_serial_seen);
        text += o.m_ledger_history + ";";
    }
    for (const send& s : m_sends) {
        add(s.m_entry_alive);
        add(s.m_caller_connected);
        add(s.m_conclusion ? int(s.m_conclusion->m_outcome) : -1);
        add(s.m_streamed_attempt ? int(*s.m_streamed_attempt) : -1);
        add(s.m_entry.m_finished);
        add(s.m_entry.m_answer_started);
        add(s.m_entry.m_crashes);
        for (const attempt_phase phase : s.m_entry.m_attempts) {
            add(phase);
        }
        text += ',';
    }
    for (const exchange& x : m_exchanges) {
        add(x.m_send);
        add(x.m_owner);
        add(x.m_incarnation);
        add(x.m_request_stage);
        add(x.m_entry_open + 2 * x.m_owner_open + 4 * x.m_has_record + 8 * x.m_attached +
            16 * x.m_target_open + 32 * x.m_record.m_entry_disconnected);
        add(x.m_record.m_phase);
        add(x.m_target);
        add(x.m_answer);
        add(x.m_end.m_outcome);
        add(x.m_end.m_cause);
    }
    return text;
}

void model::report_violation(std::string text)
{
    const bool counts = m_options.m_only.empty() || m_options.m_only == text;
    if (counts && m_violation.empty()) {
        m_violation = std::move(text);
    }
}

void model::check_invariants()
{
    for (std::size_t s = 0; s < m_sends.size(); ++s) {
        const int runs = m_runs[request_index(s)];
        if (runs > 1 && !m_options.m_idempotent) {
            report_violation("ran twice");
        }
        const std::optional<conclusion>& told = m_sends[s].m_conclusion;
        if (told && told->m_outcome == verdict::not_run && runs > 0) {
            report_violation("told not run, but ran");
        }
    }
}

// Drops state that no process can observe any more, so that equivalent states have equal keys.
void model::discard_unobservable_state()
{
    for (exchange& x : m_exchanges) {
        const bool entry_reads = x.m_entry_open && m_sends[x.m_send].m_entry_alive;
        if (!entry_reads && !is_disabled(mechanism::close_abandoned)) {
            x.m_answer = answer_stage::none;
            x.m_end = {};
        }
        if (!is_owner_alive(x)) {
            x.m_has_record = false;
            x.m_attached = false;
            x.m_record = {};
            x.m_target_open = false;
        }
        const bool owner_reads = x.m_target_open && x.m_record.m_phase != owner_phase::finished;
        if (!owner_reads && x.m_target != target_stage::none &&
            x.m_target != target_stage::in_flight) {
            x.m_target = target_stage::consumed;
        }
    }
}

bool model::is_in_use(std::size_t o) const
{
    return std::ranges::find(m_exchanges, o, &exchange::m_owner) != m_exchanges.end();
}

} // namespace pomelohead::testing::detail
