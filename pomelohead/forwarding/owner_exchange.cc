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

// Responses up to this size are buffered completely before the first byte is forwarded, so that a
// truncated one becomes an explicit refusal instead of a broken connection.
constexpr std::size_t max_buffered_response_bytes = 64UL * 1024UL;

// Bodies up to this size are written together with the head in one call: they fit the socket's
// buffers, so the write does not wait for the target to read.
constexpr std::size_t max_inline_body_bytes = 8UL * 1024UL;

// Responses to earlier requests that are discarded before the connection is closed.
constexpr std::size_t max_discarded_responses = 3;

constexpr duration response_write_timeout = std::chrono::seconds(10);
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
        !check_ticket() || !check_quarantine()) {
        return;
    }
    if (m_body.is_complete() || m_expects_continue) {
        watch_entry();
    }
    request_slot();
    run_actions();
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
                      {{"target", m_target->target().m_name}, {"in_flight", in_flight.size()}});
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

void owner_exchange::connect_target()
{
    if (m_expects_continue && !collect_body()) {
        return;
    }
    reason why;
    const http::verb method = m_exchange.request().head().method();
    const bool is_safe = method == http::verb::get || method == http::verb::head;
    m_connection = m_target->pool().acquire(m_deadline, why,
                                            is_safe ? connection_reuse::always
                                                    : connection_reuse::unless_closed_early);
    if (!m_connection) {
        process_event({.m_kind = owner_event_kind::connect_failed});
        return;
    }
    // A slow host may read a request only after its entry has closed the connection.
    if (m_exchange.has_caller_left()) {
        process_event({.m_kind = owner_event_kind::entry_disconnected});
    }
    process_event({.m_kind = owner_event_kind::ready_to_write, .m_facts = current_facts()});
}

void owner_exchange::write_request()
{
    const dialect& target_dialect = m_service.m_options.m_dialect;
    http::header<true> head = m_exchange.request().head();
    remove_hop_by_hop_headers(head);
    remove_protocol_headers(head);
    head.set(target_dialect.m_request_id, m_request_id);
    const auto time_left =
        std::chrono::duration_cast<milliseconds>(m_deadline - clock_type::now()).count();
    head.set(target_dialect.m_deadline, std::to_string(std::max<std::int64_t>(time_left, 1)));
    if (target_dialect.m_instance.empty()) {
        head.set(depth_header, std::to_string(m_facts.m_depth));
    }
    else {
        head.set(target_dialect.m_instance, m_target->target().m_name);
    }
    m_epoch = m_target->record_handover(m_id, m_fingerprint);
    m_handed_over = m_service.m_timers.now();
    m_writer.emplace(m_connection->m_stream);
    reason why;
    const message_framing framing = m_exchange.request().framing();
    const bool is_large = m_body.is_complete() && m_body.bytes().size() > max_inline_body_bytes;
    const std::string_view first = is_large ? std::string_view{} : m_body.bytes();
    const bool written = m_writer->write_head(head, framing, first, m_deadline, why);
    if (written && is_large) {
        send_buffered_body();
        return;
    }
    if (written && m_body.is_complete()) {
        m_writer->finish(m_deadline, why);
    }
    else if (written) {
        stream_remaining_body();
    }
    if (m_state.m_phase == owner_phase::finished) {
        return;
    }
    // Read the response even if the write failed: a target may respond before it has read the whole
    // request, and a failed write does not mean that it has read nothing.
    read_response();
}

// A target may respond before it has read a large body, and read the rest later or never, so the
// response is read while the body is being written.
void owner_exchange::send_buffered_body()
{
    m_body_sender.spawn([this] {
        reason why;
        if (m_writer->write_body(m_body.bytes(), m_deadline, why)) {
            m_writer->finish(m_deadline, why);
        }
    });
    read_response();
    if (m_connection) {
        m_connection->m_stream.close();
    }
    m_body_sender.wait();
    m_connection.reset();
}

bool owner_exchange::stream_remaining_body()
{
    m_body.release();
    std::string piece;
    reason why;
    while (true) {
        const body_state state =
            m_exchange.request().read_body(piece, max_piece_bytes, m_deadline, why);
        if (state == body_state::failed) {
            process_event({.m_kind = why.m_code == reason_code::timed_out
                                         ? owner_event_kind::deadline
                                         : owner_event_kind::entry_disconnected});
            if (m_state.m_phase != owner_phase::finished) {
                process_event(
                    {.m_kind = owner_event_kind::target_lost, .m_cause = cause::caller_left});
            }
            return false;
        }
        if (!m_writer->write_body(piece, m_deadline, why)) {
            return false;
        }
        if (state == body_state::end) {
            return m_writer->finish(m_deadline, why);
        }
    }
}

void owner_exchange::handle_target_failure(const reason& why, cause fallback_cause)
{
    if (m_state.m_phase == owner_phase::finished) {
        return;
    }
    if (why.m_code == reason_code::timed_out) {
        process_event({.m_kind = owner_event_kind::deadline});
        return;
    }
    m_detail = why.m_text;
    if (why.m_code == reason_code::cancelled && m_connection->was_released()) {
        m_service.m_stats.add("kept_connections_lost_total");
        m_target->pool().record_early_close();
    }
    const bool lost =
        why.m_code == reason_code::interrupted || why.m_code == reason_code::cancelled;
    const bool crashed = lost && m_target->detect_crash(m_epoch);
    process_event({.m_kind = owner_event_kind::target_lost,
                   .m_cause = crashed ? cause::target_crashed : fallback_cause});
}

// Reads heads until one is the response to this request. A target may send a second response to an
// earlier request on the connection, which the request id reveals.
bool owner_exchange::read_matching_head(reason& why)
{
    const dialect& target_dialect = m_service.m_options.m_dialect;
    for (std::size_t skipped = 0; skipped <= max_discarded_responses; ++skipped) {
        m_reader.emplace(m_connection->m_stream, m_connection->m_buffer);
        if (target_dialect.m_accepts_unframed_responses) {
            m_reader->accept_unframed();
        }
        do {
            if (!m_reader->read_head({.m_first_byte = m_deadline}, why)) {
                return false;
            }
        } while (m_reader->head().result_int() < 200);
        const http::header<false>& head = m_reader->head();
        const auto echoed = head.find(target_dialect.m_request_id);
        const bool has_no_id = echoed == head.end();
        // Behind a connection that has been in use is the process that answered on it before.
        const bool may_be_misdirected = !m_connection->was_released();
        const bool may_omit_id = !target_dialect.m_requires_request_id_echo ||
                                 (may_be_misdirected && target_dialect.m_classify_response(head) ==
                                                            target_response_kind::misdirected);
        if (has_no_id ? may_omit_id : echoed->value() == m_request_id) {
            m_response_has_id = !has_no_id;
            return true;
        }
        if (has_no_id || !target_dialect.m_requires_request_id_echo || !discard_response(why)) {
            break;
        }
    }
    why = {reason_code::conflict, "the response belongs to another request"};
    return false;
}

bool owner_exchange::discard_response(reason& why)
{
    m_service.m_stats.add("foreign_answers_total");
    std::string piece;
    body_state state = m_reader->done() ? body_state::end : body_state::more;
    while (state == body_state::more) {
        state = m_reader->read_body(piece, max_piece_bytes, m_deadline, why);
    }
    return state == body_state::end && m_reader->keep_alive();
}

void owner_exchange::read_response()
{
    reason why;
    if (!read_matching_head(why)) {
        handle_target_failure(why, why.m_code == reason_code::conflict ? cause::mismatched_answer
                                                                       : cause::target_lost);
        return;
    }
    const http::header<false>& head = m_reader->head();
    const dialect& target_dialect = m_service.m_options.m_dialect;
    const target_response_kind verdict = target_dialect.m_classify_response(head);
    if (verdict != target_response_kind::misdirected) {
        const bool was_leaving = m_target->is_leaving();
        m_target->record_statement(target_dialect.m_read_statement(head), m_handed_over);
        if (!was_leaving && m_target->is_leaving()) {
            m_service.reevaluate_pending_requests();
        }
    }
    if (m_exchange.request().head().method() == http::verb::head) {
        m_reader->expect_no_body();
    }
    std::string body;
    std::string piece;
    body_state state = m_reader->done() ? body_state::end : body_state::more;
    while (state == body_state::more && body.size() < max_buffered_response_bytes) {
        state = m_reader->read_body(piece, max_piece_bytes, m_deadline, why);
        body += piece;
    }
    if (verdict == target_response_kind::declined || verdict == target_response_kind::misdirected) {
        // The head is conclusive, even if the body is truncated.
        if (verdict == target_response_kind::misdirected) {
            m_target->mark_displaced();
        }
        // A copy of a refusal without an id would pass for the refusal of a later request.
        return_connection(m_response_has_id);
        m_slot_result = admission::request_end::refused;
        process_event({.m_kind = owner_event_kind::target_refused,
                       .m_cause = verdict == target_response_kind::misdirected
                                      ? cause::misdirected
                                      : cause::target_refused});
    }
    else if (state == body_state::failed) {
        handle_target_failure(why, cause::truncated_answer);
    }
    else if (verdict == target_response_kind::invalid) {
        handle_target_failure(
            {reason_code::malformed, "the response is not a valid response of the target"},
            cause::mismatched_answer);
    }
    else if (state == body_state::end) {
        finish_buffered_response(head, std::move(body));
    }
    else {
        stream_response(head, body);
    }
}

void owner_exchange::return_connection(bool is_wanted)
{
    const std::optional<duration> idle_limit = keep_alive_timeout(m_reader->head());
    std::optional<reusable_connection> reusable;
    if (is_wanted) {
        reusable = reusable_connection::after(m_connection, *m_writer, *m_reader);
    }
    m_reader.reset();
    if (reusable) {
        m_target->pool().release(std::move(*reusable), idle_limit);
    }
    else {
        // The rest of the request may still be being written.
        m_connection->m_stream.close();
    }
}

void owner_exchange::finish_buffered_response(const http::header<false>& head, std::string body)
{
    outcome::stored_answer response{.m_status = static_cast<std::uint16_t>(head.result_int()),
                                    .m_body = std::move(body)};
    http::header<false> response_headers = head;
    remove_hop_by_hop_headers(response_headers);
    remove_protocol_headers(response_headers);
    for (const auto& field : response_headers) {
        response.m_headers.push_back(
            {to_std_string(field.name_string()), to_std_string(field.value())});
    }
    clear_crash_suspicion();
    m_buffered_response = std::make_shared<const outcome::stored_answer>(std::move(response));
    return_connection();
    m_slot_result = admission::request_end::complete;
    process_event({.m_kind = owner_event_kind::answer_complete});
}

void owner_exchange::stream_response(const http::header<false>& target_head,
                                     const std::string& first_piece)
{
    http::header<false> head = target_head;
    remove_hop_by_hop_headers(head);
    remove_protocol_headers(head);
    add_protocol_headers(head);
    head.set(outcome_header, "complete");
    process_event({.m_kind = owner_event_kind::before_answer_write});
    m_watch.reset();
    reason why;
    if (!m_exchange.begin(head, m_reader->content_length(), first_piece, m_deadline, why)) {
        process_event({.m_kind = owner_event_kind::entry_disconnected});
    }
    std::string piece;
    body_state state = body_state::more;
    while (state == body_state::more && m_state.m_phase != owner_phase::finished) {
        state = m_reader->read_body(piece, max_piece_bytes, m_deadline, why);
        if (state == body_state::failed) {
            handle_target_failure(why, cause::truncated_answer);
        }
        else if (!m_state.m_entry_disconnected && !m_exchange.write(piece, m_deadline, why)) {
            process_event({.m_kind = owner_event_kind::entry_disconnected});
        }
    }
    if (state == body_state::end && m_state.m_phase != owner_phase::finished) {
        clear_crash_suspicion();
        return_connection();
        m_slot_result = admission::request_end::complete;
        process_event({.m_kind = owner_event_kind::answer_complete});
        m_exchange.finish(m_deadline, why);
    }
}

void owner_exchange::clear_crash_suspicion()
{
    if (m_target->runs_alone(m_id) &&
        m_service.m_quarantine.record_success(m_fingerprint, m_service.m_timers.now())) {
        m_service.m_crash_marks.push_changes_async(m_target->target().m_service);
    }
}

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
