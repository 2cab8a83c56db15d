// What the owner sends back to the entry: a conclusion of its own or the target's response, with
// the load report that goes with each.
#include "pomelohead/forwarding/headers.h"
#include "pomelohead/forwarding/owner_exchange.h"
#include "pomelohead/outcome/entry_machine.h"
#include "pomelohead/telemetry/log.h"

namespace pomelohead::forwarding {
namespace {

using outcome::cause;

constexpr duration response_write_timeout = std::chrono::seconds(10);

} // namespace

void owner_exchange::refuse(cause why, milliseconds retry_hint)
{
    m_retry_hint = retry_hint;
    // Another request with this ticket may have run, and the ledger has not been consulted.
    const bool has_ticket = m_exchange.request().head().count(ticket_header) > 0;
    send_conclusion(
        outcome::conclude(outcome::make_entry_state({.m_has_ticket = has_ticket}), why));
}

void owner_exchange::add_protocol_headers(http::header<false>& head) const
{
    head.set(request_id_header, m_request_id);
    routing::owner_load_report report;
    report.m_incarnation = m_service.m_options.m_incarnation;
    if (m_target) {
        report.m_load = m_target->load_report();
        report.m_delay = m_service.m_callbacks.m_delay();
        report.m_run_time = m_target->queue().route_run_time(m_facts.m_class, m_facts.m_route);
        report.m_target_leaving = m_target->is_leaving();
        report.m_draining = report.m_target_leaving || m_target->is_displaced() ||
                            m_service.m_callbacks.m_is_draining(m_target->target().m_name);
    }
    else {
        // This node does not own the target: report it as draining, so that entries send it no
        // further requests for a while.
        report.m_draining = true;
    }
    head.set(load_report_header, format_load_report(report));
}

void owner_exchange::send_conclusion(const outcome::conclusion& conclusion)
{
    m_service.m_stats.add("owner_requests_total",
                          {{"outcome", std::string(outcome::to_string(conclusion.m_outcome))},
                           {"reason", std::string(outcome::to_string(conclusion.m_cause))}});
    log_outcome(conclusion);
    if (conclusion.m_outcome == outcome::outcome::complete && m_buffered_response) {
        send_buffered_response(m_buffered_response->m_status, *m_buffered_response);
        return;
    }
    http::header<false> head;
    set_conclusion_headers(head, conclusion, m_retry_hint);
    if (m_retry_hint > milliseconds::zero()) {
        head.set(retry_after_header, std::to_string(m_retry_hint.count()));
    }
    add_protocol_headers(head);
    reason why;
    m_watch.reset();
    m_exchange.respond(head, {}, clock_type::now() + response_write_timeout, why);
}

void owner_exchange::log_outcome(const outcome::conclusion& conclusion) const
{
    const admission::load_report load =
        m_target ? m_target->load_report() : admission::load_report{};
    const auto ms = [](time_point since) {
        return std::chrono::duration<double, std::milli>(clock_type::now() - since).count();
    };
    log_request(conclusion.m_outcome == outcome::outcome::complete ? log_level::debug
                                                                   : log_level::info,
                "owner_request",
                {{"id", m_request_id},
                 {"route", m_facts.m_route},
                 {"target", m_target ? m_target->target().m_name : ""},
                 {"outcome", outcome::to_string(conclusion.m_outcome)},
                 {"reason", outcome::to_string(conclusion.m_cause)},
                 {"detail", m_detail},
                 {"buffered_body_bytes", m_body.bytes().size()},
                 {"free_slots", load.m_free},
                 {"queued", load.m_queued},
                 {"left_ms", -ms(m_deadline)},
                 {"unread_ms", std::chrono::duration<double, std::milli>(m_unread).count()},
                 {"ms", ms(m_arrived)}});
}

void owner_exchange::send_buffered_response(std::uint16_t status,
                                            const outcome::stored_answer& response)
{
    http::header<false> head;
    head.result(status);
    for (const auto& field : response.m_headers) {
        head.insert(field.m_name, field.m_value);
    }
    add_protocol_headers(head);
    head.set(outcome_header, "complete");
    reason why;
    m_watch.reset();
    m_exchange.respond(head, response.m_body, clock_type::now() + response_write_timeout, why);
}

} // namespace pomelohead::forwarding
