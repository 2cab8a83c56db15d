#include "pomelohead/forwarding/entry_attempt.h"

#include "pomelohead/forwarding/headers.h"

namespace pomelohead::forwarding {
namespace {

using outcome::cause;
using outcome::entry_event_kind;

// Responses up to this size are buffered completely before the first byte goes to the caller, so
// that a lost one can still become another attempt or an explicit refusal.
constexpr std::size_t max_buffered_response_bytes = 64UL * 1024UL;

// The owner itself refuses at the deadline; this is the time for its response to arrive.
constexpr duration owner_response_grace = std::chrono::milliseconds(100);

constexpr std::uint64_t max_retry_hint_ms = 3'600'000;

} // namespace

entry_attempt::entry_attempt(entry_service& service, attempt_request& request, std::size_t index,
                             config::target target, admission::queueing queueing)
    : m_service(service), m_request(request), m_index(index), m_target(std::move(target)),
      m_queueing(queueing),
      m_address(request.m_ticket_owner.empty() ? m_target.m_host : request.m_ticket_owner),
      m_started(clock_type::now())
{
    m_service.m_selector.record_start(m_target.m_name, m_request.m_class, m_started);
}

void entry_attempt::report_event(entry_event_kind kind, cause why)
{
    m_request.m_on_event({.m_kind = kind, .m_attempt = m_index, .m_cause = why});
}

void entry_attempt::report_connection_lost(const reason& why, cause cause)
{
    record_result(routing::attempt_result::failed);
    if (why.m_code == reason_code::unresponsive) {
        m_service.record_silence(m_address, m_target.m_failure_domain);
    }
    const bool timed_out = why.m_code == reason_code::timed_out;
    report_event(entry_event_kind::connection_lost, timed_out ? outcome::cause::deadline : cause);
}

void entry_attempt::run()
{
    reason why;
    m_connection =
        m_service.connect_owner(m_address, m_target.m_failure_domain, m_request.m_deadline, why);
    if (m_abandoned) {
        return record_result(routing::attempt_result::cancelled);
    }
    if (!m_connection) {
        record_result(routing::attempt_result::failed);
        return report_event(entry_event_kind::connect_failed);
    }
    if (m_request.m_has_caller_left()) {
        return record_result(routing::attempt_result::cancelled);
    }
    if (clock_type::now() >= m_request.m_deadline) {
        record_result(routing::attempt_result::cancelled);
        return report_event(entry_event_kind::deadline);
    }
    m_written_at = clock_type::now();
    report_event(entry_event_kind::before_request_write);
    if (write_request() && read_head()) {
        read_response();
    }
}

void entry_attempt::fail()
{
    if (!m_abandoned && !m_ended) {
        m_connection.reset();
        report_connection_lost({}, cause::internal_error);
    }
}

// Whether the body is sent only once the owner has a slot.
bool entry_attempt::uses_expect_continue() const
{
    return m_request.m_streamed ||
           (m_request.m_body.bytes().size() >= (m_queueing == admission::queueing::allowed
                                                    ? expect_continue_min_bytes
                                                    : expect_continue_min_bytes_if_refusable) &&
            m_target.m_failure_domain != m_service.m_options.m_failure_domain);
}

bool entry_attempt::write_request()
{
    http::header<true> head = m_request.m_head;
    head.set(target_header, m_target.m_name);
    head.set(attempt_header, std::to_string(m_index));
    const auto time_left =
        std::chrono::duration_cast<milliseconds>(m_request.m_deadline - clock_type::now());
    head.set(deadline_header, std::to_string(std::max<std::int64_t>(
                                  outcome::forwarded_time_left(time_left).count(), 1)));
    if (m_request.m_objective != time_point{}) {
        const auto objective_left =
            std::chrono::duration_cast<milliseconds>(m_request.m_objective - clock_type::now());
        head.set(objective_header,
                 std::to_string(std::max<std::int64_t>(objective_left.count(), 0)));
    }
    if (m_request.m_is_suspect()) {
        head.set(apart_header, "true");
    }
    if (m_queueing != admission::queueing::allowed) {
        head.set(queueing_header, to_string(m_queueing));
    }
    message_framing framing = m_request.m_exchange.request().framing();
    if (uses_expect_continue()) {
        head.set(http::field::expect, "100-continue");
        head.set(body_digest_header, body_digest(m_request.m_body.bytes()));
    }
    if (!m_request.m_streamed && framing.is_chunked()) {
        framing = message_framing::of_length(m_request.m_body.bytes().size());
    }
    m_writer.emplace(m_connection->m_stream);
    reason why;
    const std::string_view body =
        uses_expect_continue() ? std::string_view{} : std::string_view(m_request.m_body.bytes());
    if (!m_writer->write_head(head, framing, body, m_request.m_deadline, why)) {
        report_connection_lost(why, cause::connection_lost);
        return false;
    }
    m_reader.emplace(m_connection->m_stream, m_connection->m_buffer);
    if (!uses_expect_continue()) {
        return true;
    }
    if (!read_head()) {
        return false;
    }
    // Any status but 100 is the final response, and the body is not sent.
    if (m_reader->head().result_int() != 100) {
        return true;
    }
    // The owner may have asked for the body long after the caller left.
    if (m_request.m_has_caller_left()) {
        return false;
    }
    return m_request.m_streamed ? stream_body() : send_body_after_continue();
}

bool entry_attempt::send_body_after_continue()
{
    reason why;
    // If the write fails, the owner may have responded early.
    return (m_writer->write_body(m_request.m_body.bytes(), m_request.m_deadline, why) &&
            m_writer->finish(m_request.m_deadline, why)) ||
           !m_abandoned;
}

bool entry_attempt::stream_body()
{
    reason why;
    std::string piece = m_request.m_body.bytes();
    body_state state = body_state::more;
    m_request.m_on_event({.m_kind = entry_event_kind::body_not_replayable});
    m_request.m_body.release();
    while (true) {
        if (!m_writer->write_body(piece, m_request.m_deadline, why)) {
            return !m_abandoned; // the owner may have responded early
        }
        if (state == body_state::end) {
            return m_writer->finish(m_request.m_deadline, why) || !m_abandoned;
        }
        state = m_request.m_exchange.request().read_body(piece, max_piece_bytes,
                                                         m_request.m_deadline, why);
        if (state == body_state::failed) {
            record_result(routing::attempt_result::cancelled);
            m_connection->m_stream.close();
            m_request.m_on_event({.m_kind = why.m_code == reason_code::timed_out
                                                ? entry_event_kind::deadline
                                                : entry_event_kind::caller_disconnected});
            return false;
        }
    }
}

bool entry_attempt::read_head()
{
    reason why;
    if (m_reader->has_head() && m_reader->head().result_int() != 100) {
        return true;
    }
    const head_limits limits{.m_first_byte = m_request.m_deadline + owner_response_grace};
    if (!m_reader->read_head(limits, why)) {
        report_connection_lost(why, cause::connection_lost);
        return false;
    }
    const http::header<false>& head = m_reader->head();
    const auto answered = head.find(request_id_header);
    if (answered != head.end() && answered->value() != m_request.m_head[request_id_header]) {
        report_connection_lost({reason_code::conflict, "the response belongs to another request"},
                               cause::mismatched_answer);
        return false;
    }
    if (m_request.m_head.method() == http::verb::head) {
        m_reader->expect_no_body();
    }
    return true;
}

void entry_attempt::read_response()
{
    m_service.m_lost_domains.record_response(m_target.m_failure_domain);
    const http::header<false>& head = m_reader->head();
    if (const auto word = parse_load_report(head[load_report_header], clock_type::now())) {
        m_service.m_selector.record_load_report(m_target.m_name, *word,
                                                std::string(m_request.m_head[route_header]));
        if (word->m_target_leaving) {
            m_service.m_selector.record_leaving(m_target, clock_type::now());
        }
    }
    auto stated_outcome = outcome::parse_outcome(head[outcome_header]);
    auto stated_cause = outcome::parse_cause(head[reason_header]).value_or(cause::none);
    // An earlier request with the same ticket may have run.
    if (head[unread_header] == "true" && m_request.m_head.count(ticket_header) == 0) {
        stated_outcome = outcome::outcome::not_run;
        stated_cause = cause::overloaded;
    }
    reason why;
    m_state = m_reader->done() ? body_state::end : body_state::more;
    std::string piece;
    while (m_state == body_state::more && m_response_prefix.size() < max_buffered_response_bytes) {
        m_state = m_reader->read_body(piece, max_piece_bytes, m_request.m_deadline, why);
        m_response_prefix += piece;
    }
    if (m_state == body_state::failed || !stated_outcome) {
        report_connection_lost(why, cause::truncated_answer);
        return;
    }
    m_latency = clock_type::now() - m_started;
    switch (*stated_outcome) {
    case outcome::outcome::complete:
        report_event(entry_event_kind::owner_complete);
        return;
    case outcome::outcome::not_run:
        m_was_busy =
            m_queueing != admission::queueing::allowed && stated_cause == cause::overloaded;
        if (const auto hint = parse_number(head[retry_after_header], max_retry_hint_ms)) {
            // A hedge may be refused by an owner that has room for the request itself.
            if (!is_hedge()) {
                m_request.m_on_retry_hint(milliseconds(*hint));
            }
            if (stated_cause == cause::rate_limited) {
                m_service.m_selector.record_rate_limited(m_target.m_name,
                                                         clock_type::now() + milliseconds(*hint));
            }
        }
        finish(true);
        report_event(entry_event_kind::owner_not_run, stated_cause);
        return;
    case outcome::outcome::unknown:
        record_result(routing::attempt_result::failed);
        report_event(entry_event_kind::owner_unknown, stated_cause);
        return;
    }
}

body_state entry_attempt::read_body_piece(std::string& piece, reason& why)
{
    m_state = m_reader->read_body(piece, max_piece_bytes, m_request.m_deadline, why);
    return m_state;
}

void entry_attempt::finish(bool fully_forwarded)
{
    const bool refused =
        m_reader->head().count(unread_header) > 0 ||
        outcome::parse_outcome(m_reader->head()[outcome_header]) == outcome::outcome::not_run;
    if (auto reusable = reusable_connection::after(m_connection, *m_writer, *m_reader)) {
        m_service.pool(m_address).release(std::move(*reusable));
    }
    m_connection.reset();
    record_result(refused           ? routing::attempt_result::not_run
                  : fully_forwarded ? routing::attempt_result::answered
                                    : routing::attempt_result::failed);
}

void entry_attempt::abandon()
{
    m_abandoned = true;
    if (m_connection) {
        m_connection->m_stream.close();
    }
    record_result(routing::attempt_result::cancelled);
}

void entry_attempt::record_result(routing::attempt_result result)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    if (is_hedge() && result == routing::attempt_result::cancelled) {
        result = routing::attempt_result::superseded;
    }
    const time_point now = clock_type::now();
    m_service.m_selector.record_finish(m_target.m_name, m_request.m_class, result, now - m_started,
                                       now);
}

std::optional<std::string> fetch_ticket(entry_service& service, const config::target& target,
                                        time_point deadline)
{
    reason why;
    connection_pool pool(service.m_io, {target.m_host, service.m_options.m_owner_port}, 0);
    const auto connection = pool.acquire(deadline, why);
    if (!connection) {
        return std::nullopt;
    }
    http::header<true> head;
    head.method(http::verb::post);
    head.target("/.pomelohead/ticket");
    head.set(target_header, target.m_name);
    head.set(http::field::connection, "close");
    message_writer writer(connection->m_stream);
    response_reader reader(connection->m_stream, connection->m_buffer);
    if (!writer.write_head(head, message_framing::of_length(0), {}, deadline, why) ||
        !reader.read_head({.m_first_byte = deadline}, why) || reader.head().result_int() != 200) {
        return std::nullopt;
    }
    std::string text;
    std::string piece;
    body_state state = reader.done() ? body_state::end : body_state::more;
    while (state == body_state::more) {
        state = reader.read_body(piece, max_piece_bytes, deadline, why);
        text += piece;
    }
    return state == body_state::end ? std::optional(text) : std::nullopt;
}

} // namespace pomelohead::forwarding
