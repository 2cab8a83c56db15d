// The owner's exchange with the target: the request is written, and the response is read until it
// is known to be whole or to be forwarded as it comes.
#include "pomelohead/forwarding/headers.h"
#include "pomelohead/forwarding/owner_exchange.h"

namespace pomelohead::forwarding {
namespace {

using outcome::cause;
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

std::string to_std_string(std::string_view value)
{
    return std::string(value);
}

} // namespace

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
        m_target->record_connect_failure(why);
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
    const bool lost = why.m_code == reason_code::interrupted ||
                      why.m_code == reason_code::unresponsive ||
                      why.m_code == reason_code::cancelled;
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
        do {
            if (!m_reader->read_head({.m_first_byte = m_deadline}, why)) {
                return false;
            }
        } while (is_interim_status(m_reader->head().result_int()));
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

// A target may end its side before it has read the whole request. The write ends by the deadline.
bool owner_exchange::is_request_written()
{
    m_body_sender.wait();
    return m_writer->is_complete();
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
    const bool is_refusal =
        verdict == target_response_kind::declined || verdict == target_response_kind::misdirected;
    if (target_dialect.m_accepts_unframed_responses && !is_refusal) {
        m_reader->accept_unframed([this] { return is_request_written(); });
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
    if (is_refusal) {
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

// A request that crashes whatever runs it has no whole answer, also where others run beside it.
void owner_exchange::clear_crash_suspicion()
{
    if (m_service.m_quarantine.record_success(m_fingerprint, m_service.m_timers.now())) {
        m_service.m_crash_marks.push_changes_async(m_target->target().m_service);
    }
}

} // namespace pomelohead::forwarding
