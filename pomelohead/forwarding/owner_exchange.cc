#include "pomelohead/forwarding/owner_exchange.h"

#include "pomelohead/forwarding/headers.h"
#include "pomelohead/forwarding/socket_state.h"
#include "pomelohead/forwarding/unanswered_request.h"
#include "pomelohead/outcome/entry_machine.h"
#include "pomelohead/outcome/fingerprint.h"
#include "pomelohead/telemetry/log.h"

namespace pomelohead::forwarding {
namespace {

using outcome::cause;
using outcome::owner_action_kind;
using outcome::owner_event_kind;
using outcome::owner_phase;

constexpr milliseconds default_deadline = std::chrono::minutes(1);

std::string to_std_string(std::string_view value)
{
    return std::string(value);
}

// A large body is identified by its digest, which the entry can send before the body.
std::string body_identity(const http::header<true>& head, const std::string& body)
{
    const auto digest = head.find(body_digest_header);
    if (digest != head.end()) {
        return to_std_string(digest->value());
    }
    return body.size() < expect_continue_min_bytes ? body : body_digest(body);
}

outcome::request_content make_request_content(const http::header<true>& head,
                                              const std::string& body)
{
    outcome::request_content content;
    content.m_method = to_std_string(head.method_string());
    content.m_target = to_std_string(head.target());
    for (const auto& field : head) {
        content.m_headers.push_back(
            {to_std_string(field.name_string()), to_std_string(field.value())});
    }
    content.m_body_prefix = body_identity(head, body);
    return content;
}

config::urgency parse_urgency(std::string_view text)
{
    if (text == config::to_string(config::urgency::urgent)) {
        return config::urgency::urgent;
    }
    return text == config::to_string(config::urgency::deferrable) ? config::urgency::deferrable
                                                                  : config::urgency::normal;
}

} // namespace

owner_exchange::owner_exchange(owner_service& service, server_exchange& exchange)
    : m_service(service), m_exchange(exchange),
      m_body(service.m_body_budget, service.m_options.m_max_buffered_bytes_per_request),
      m_unread(time_since_last_data(exchange.stream())), m_arrived(clock_type::now() - m_unread)
{
}

void owner_exchange::run()
{
    if (!read_request_headers() || !find_target() || !check_version() || !read_body() ||
        !check_ticket()) {
        return;
    }
    if (m_body.is_complete() || m_expects_continue) {
        watch_entry();
    }
    m_service.m_crash_marks.wait_until_learned(m_target->target().m_service);
    if (check_quarantine()) {
        request_slot();
        run_actions();
    }
    m_watch.reset();
    m_body_sender.wait();
}

void owner_exchange::record_if_unanswered() const
{
    if (m_exchange.is_answered()) {
        return;
    }
    const request_phase phase = m_exchange.answered()           ? request_phase::answering
                                : m_handed_over != time_point{} ? request_phase::at_target
                                : m_exchange.request().done()   ? request_phase::queued
                                                                : request_phase::reading;
    if (m_exchange.has_caller_left()) {
        const bool is_passed_on = m_handed_over != time_point{};
        const time_point left_at = m_entry_left_at.value_or(clock_type::now());
        record_caller_left(m_service.m_stats,
                           {m_request_id, phase, request_side::owner, m_unread,
                            clock_type::now() - m_arrived, !is_closed_by_peer(m_exchange.stream()),
                            is_passed_on ? std::optional(left_at - m_handed_over) : std::nullopt});
        return;
    }
    std::string why(outcome::to_string(m_state.m_end.m_cause));
    for (const std::string& text : {m_detail, m_exchange.failure()}) {
        why += text.empty() ? "" : ": " + text;
    }
    record_unanswered(m_service.m_stats, {m_request_id, phase, request_side::owner, why});
}

void owner_exchange::fail()
{
    m_exchange.close_after();
    const bool is_before_handover = outcome::is_before_handover(m_state.m_phase);
    process_event(
        {.m_kind = is_before_handover ? owner_event_kind::refused : owner_event_kind::target_lost,
         .m_cause = cause::internal_error});
    m_watch.reset();
    m_body_sender.wait();
    run_actions();
}

void owner_exchange::reevaluate()
{
    if (m_target) {
        process_event({.m_kind = owner_event_kind::facts_changed, .m_facts = current_facts()});
    }
}

bool owner_exchange::read_request_headers()
{
    const http::header<true>& head = m_exchange.request().head();
    reason why;
    const auto time_left = parse_deadline(head, deadline_header, default_deadline, why);
    if (!time_left) {
        refuse(cause::malformed_request);
        return false;
    }
    m_deadline = m_arrived + *time_left;
    m_request_id = to_std_string(head[request_id_header]);
    m_facts.m_account = to_std_string(head[account_header]);
    m_facts.m_route = to_std_string(head[route_header]);
    m_facts.m_class = head[class_header] == "long" ? config::work_class::long_work
                                                   : config::work_class::short_work;
    m_facts.m_urgency = parse_urgency(head[urgency_header]);
    m_facts.m_depth =
        static_cast<std::uint32_t>(parse_number(head[depth_header], max_depth).value_or(0));
    m_facts.m_deadline = m_deadline;
    m_facts.m_queueing = parse_queueing(head[queueing_header]);
    if (const auto objective_ms = parse_number(head[objective_header], max_deadline.count())) {
        m_facts.m_objective = m_arrived + milliseconds(*objective_ms);
    }
    m_isolated = head[apart_header] == "true";
    if (head.count(ticket_header) > 0) {
        m_ticket = outcome::parse_ticket(head[ticket_header], why);
        if (!m_ticket) {
            refuse(cause::malformed_ticket);
            return false;
        }
        m_state.m_has_ticket = true;
    }
    return true;
}

bool owner_exchange::find_target()
{
    const std::string name = to_std_string(m_exchange.request().head()[target_header]);
    const auto it = m_service.m_targets.find(name);
    if (it != m_service.m_targets.end()) {
        m_target = it->second;
        m_id = m_target->allocate_id();
        m_facts.m_id = m_id;
        m_facts.m_is_call = m_service.record_caller(m_exchange.request().head(), m_facts.m_route,
                                                    m_target->target().m_service);
        return true;
    }
    if (!m_ticket) {
        refuse(cause::misdirected);
        return false;
    }
    // The request with this ticket may have run before the target was removed; only the ledger can
    // tell.
    const auto known =
        m_service.m_ledger.present(*m_ticket, m_ticket->m_target, m_service.m_timers.now());
    m_state.m_has_ticket = false;
    if (known.m_verdict == outcome::ticket_verdict::run) {
        const outcome::conclusion conclusion{outcome::outcome::not_run, cause::misdirected};
        m_service.m_ledger.finish(m_ticket->m_serial, conclusion, nullptr,
                                  m_service.m_timers.now());
        send_conclusion(conclusion);
    }
    else {
        send_conclusion({outcome::outcome::unknown, cause::misdirected});
    }
    return false;
}

// An entry that is behind may send what the configuration in force does not allow any more.
bool owner_exchange::check_version()
{
    const http::header<true>& head = m_exchange.request().head();
    if (m_ticket || !m_service.is_outdated(head, m_target->target().m_service)) {
        return true;
    }
    m_detail = "the entry goes by version " + to_std_string(head[version_header]);
    m_exchange.close_after(); // the body has not been read
    refuse(cause::outdated_configuration, outdated_retry_hint);
    return false;
}

bool owner_exchange::read_body()
{
    // A body sent with Expect: 100-continue is requested only once there is a slot.
    m_expects_continue = m_exchange.request().head().count(http::field::expect) > 0;
    if (m_expects_continue) {
        return true;
    }
    reason why;
    if (m_body.collect(m_exchange.request(), m_deadline, why)) {
        return true;
    }
    m_exchange.close_after();
    if (why.m_code == reason_code::timed_out) {
        refuse(cause::deadline);
    }
    return false;
}

// Sends 100 Continue and reads the body, up to the limit of the buffer.
bool owner_exchange::collect_body()
{
    reason why;
    m_watch.reset();
    if (!m_exchange.send_continue(m_deadline, why) ||
        !m_body.collect(m_exchange.request(), m_deadline, why)) {
        m_exchange.close_after();
        process_event({.m_kind = why.m_code == reason_code::timed_out
                                     ? owner_event_kind::deadline
                                     : owner_event_kind::entry_disconnected});
        return false;
    }
    if (m_body.is_complete()) {
        watch_entry();
    }
    return true;
}

void owner_exchange::watch_entry()
{
    m_watch = m_exchange.watch(
        [this] { process_event({.m_kind = owner_event_kind::entry_disconnected}); });
}

bool owner_exchange::check_ticket()
{
    outcome::request_content content =
        make_request_content(m_exchange.request().head(), m_body.bytes());
    m_fingerprint = outcome::make_fingerprint(content);
    // A resend may differ in headers that the fingerprint for the quarantine includes.
    content.m_headers.clear();
    const std::string digest = outcome::make_fingerprint(content);
    while (m_ticket) {
        const outcome::ticket_decision decision =
            m_service.m_ledger.present(*m_ticket, digest, m_service.m_timers.now());
        switch (decision.m_verdict) {
        case outcome::ticket_verdict::run:
            m_service.m_ticket_completions[m_ticket->m_serial] = std::make_shared<fiber_event>();
            return true;
        case outcome::ticket_verdict::attach: {
            const auto completion = m_service.m_ticket_completions[m_ticket->m_serial];
            if (!completion || !completion->wait_for(m_deadline - clock_type::now())) {
                send_conclusion({outcome::outcome::unknown, cause::deadline});
                return false;
            }
            break;
        }
        case outcome::ticket_verdict::replay:
            m_buffered_response = decision.m_answer;
            send_conclusion(decision.m_end);
            return false;
        case outcome::ticket_verdict::refuse:
            send_conclusion(decision.m_end);
            return false;
        }
    }
    return true;
}

bool owner_exchange::check_quarantine()
{
    const auto verdict = m_service.m_quarantine.check(m_fingerprint, m_service.m_timers.now());
    if (verdict == outcome::quarantine_verdict::refuse) {
        m_service.m_stats.add("quarantine_refused_total");
        process_event({.m_kind = owner_event_kind::refused, .m_cause = cause::quarantined});
        run_actions();
        return false;
    }
    m_isolated = m_isolated || verdict == outcome::quarantine_verdict::run_alone;
    return true;
}

void owner_exchange::request_slot()
{
    const outcome::handover_conditions facts = current_facts();
    if (const auto why = outcome::refusal_cause(facts)) {
        process_event({.m_kind = owner_event_kind::refused, .m_cause = *why});
    }
    if (m_state.m_phase == owner_phase::finished) {
        return; // refused, or finished while the body was being read: no slot is needed
    }
    const admission::decision decision = m_target->offer(
        m_facts, m_isolated,
        {.m_granted =
             [this] {
                 process_event(
                     {.m_kind = owner_event_kind::slot_granted, .m_facts = current_facts()});
             },
         .m_refused =
             [this](milliseconds retry_after) {
                 m_retry_hint = retry_after;
                 process_event({.m_kind = owner_event_kind::refused, .m_cause = cause::overloaded});
             }});
    switch (decision.m_verdict) {
    case admission::verdict::start:
        process_event({.m_kind = owner_event_kind::slot_granted, .m_facts = facts});
        return;
    case admission::verdict::queued:
        process_event({.m_kind = owner_event_kind::queued});
        return;
    case admission::verdict::refused:
        m_detail = decision.m_why.m_text;
        m_retry_hint = decision.m_retry_after;
        process_event({.m_kind = owner_event_kind::refused,
                       .m_cause = decision.m_why.m_code == reason_code::rate_limited
                                      ? cause::rate_limited
                                  : m_isolated ? cause::no_idle_target
                                               : cause::overloaded});
        return;
    }
}

void owner_exchange::run_actions()
{
    while (true) {
        if (!m_pending_actions.empty()) {
            const outcome::owner_action action = m_pending_actions.front();
            m_pending_actions.pop_front();
            execute_blocking(action);
            continue;
        }
        if (m_state.m_phase == owner_phase::finished) {
            return;
        }
        m_event_processed.reset();
        if (!m_event_processed.wait_for(std::max<duration>(m_deadline - clock_type::now(), {}))) {
            process_event({.m_kind = owner_event_kind::deadline});
        }
    }
}

void owner_exchange::process_event(const outcome::owner_event& event)
{
    if (event.m_kind == owner_event_kind::entry_disconnected && !m_entry_left_at) {
        m_entry_left_at = clock_type::now();
    }
    outcome::owner_step next = outcome::step(m_state, event);
    m_state = next.m_state;
    for (const outcome::owner_action& action : next.m_actions) {
        execute_immediate(action);
    }
    m_event_processed.set();
}

void owner_exchange::execute_immediate(const outcome::owner_action& action)
{
    const time_point now = m_service.m_timers.now();
    switch (action.m_kind) {
    case owner_action_kind::close_target:
        if (m_connection) {
            m_connection->m_stream.close();
        }
        return;
    case owner_action_kind::release_slot:
        m_target->release(m_id, m_slot_result);
        return;
    case owner_action_kind::withdraw:
        m_target->withdraw(m_id);
        return;
    case owner_action_kind::report_crash: {
        const std::vector<std::string> in_flight = m_target->end_epoch(m_epoch);
        if (!in_flight.empty()) {
            m_service.m_stats.add("target_crashes_total");
            log_event(log_level::warning, "target_crashed",
                      {{"target", m_target->target().m_name},
                       {"in_flight", in_flight.size()},
                       {"marks_known", m_service.m_quarantine.digest(now).size()}});
            m_service.m_quarantine.record_crash(
                m_target->target().m_name + "/" +
                    std::to_string(m_service.m_options.m_incarnation) + "/" +
                    std::to_string(m_epoch),
                in_flight, now);
            m_service.m_crash_marks.mark_changed(m_target->target().m_service);
        }
        return;
    }
    case owner_action_kind::record:
        if (m_ticket) {
            m_service.m_ledger.finish(m_ticket->m_serial, action.m_end, m_buffered_response, now);
            if (const auto node = m_service.m_ticket_completions.extract(m_ticket->m_serial)) {
                node.mapped()->set();
            }
        }
        return;
    default:
        m_pending_actions.push_back(action);
        return;
    }
}

void owner_exchange::execute_blocking(const outcome::owner_action& action)
{
    switch (action.m_kind) {
    case owner_action_kind::connect_target:
        connect_target();
        return;
    case owner_action_kind::write_request:
        write_request();
        return;
    case owner_action_kind::answer:
        // Notify the other owners first: the caller may retry as soon as it has the response.
        if (action.m_end.m_cause == cause::target_crashed) {
            m_service.m_crash_marks.push_changes(m_target->target().m_service);
        }
        if (!m_state.m_entry_disconnected) {
            send_conclusion(action.m_end);
        }
        return;
    case owner_action_kind::close_entry:
        m_exchange.close_after();
        m_exchange.stream().close();
        return;
    default:
        return;
    }
}

outcome::handover_conditions owner_exchange::current_facts() const
{
    const std::string& name = m_target->target().m_name;
    const auto it = m_service.m_targets.find(name);
    return {.m_deadline_passed = clock_type::now() >= m_deadline,
            .m_draining = m_target->is_leaving() || m_service.m_callbacks.m_is_draining(name),
            .m_owns_target = it != m_service.m_targets.end() && it->second == m_target &&
                             !m_target->is_displaced(),
            .m_quarantined =
                m_service.m_quarantine.check(m_fingerprint, m_service.m_timers.now()) ==
                outcome::quarantine_verdict::refuse,
            .m_entry_connected = !m_state.m_entry_disconnected};
}

} // namespace pomelohead::forwarding
