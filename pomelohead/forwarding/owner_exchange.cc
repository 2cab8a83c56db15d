#include "pomelohead/forwarding/owner_exchange.h"

#include "pomelohead/forwarding/headers.h"
#include "pomelohead/outcome/entry_machine.h"
#include "pomelohead/outcome/fingerprint.h"
#include "pomelohead/telemetry/log.h"

namespace pomelohead::forwarding {
namespace {

using outcome::cause;
using outcome::owner_action_kind;
using outcome::owner_event_kind;
using outcome::owner_phase;

// Answers up to this size are taken whole before a byte of them goes on, so that a
// cut one becomes a clear refusal instead of a broken connection.
constexpr std::size_t whole_answer_bytes = 64UL * 1024UL;

// A body up to this size is written with the head, in one call: it fits the socket's
// buffers, so the write does not wait for the target to read.
constexpr std::size_t eager_body_bytes = 8UL * 1024UL;

// Answers to earlier requests that are passed over before the connection is given up.
constexpr std::size_t max_skipped_answers = 3;

constexpr duration answer_limit = std::chrono::seconds(10);
constexpr milliseconds default_deadline = std::chrono::minutes(1);

std::string text_of(std::string_view value)
{
    return std::string(value);
}

// A large body is known by its digest, which an entry can tell before it sends the body.
std::string body_mark(const http::header<true>& head, const std::string& body)
{
    const auto digest = head.find(body_digest_header);
    if (digest != head.end()) {
        return text_of(digest->value());
    }
    return body.size() < offered_body_bytes ? body : body_digest(body);
}

outcome::request_content content_of(const http::header<true>& head, const std::string& body)
{
    outcome::request_content content;
    content.m_method = text_of(head.method_string());
    content.m_target = text_of(head.target());
    for (const auto& field : head) {
        content.m_headers.push_back({text_of(field.name_string()), text_of(field.value())});
    }
    content.m_body_prefix = body_mark(head, body);
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
      m_body(service.m_body_budget, service.m_options.m_kept_bytes_per_request),
      m_arrived(clock_type::now())
{
}

void owner_exchange::run()
{
    if (!read_head_fields() || !find_target() || !read_body() || !judge_ticket() ||
        !judge_quarantine()) {
        return;
    }
    if (m_body.whole() || m_is_offered) {
        watch_entry();
    }
    ask_for_slot();
    work();
    m_watch.reset();
    m_body_sender.wait();
}

void owner_exchange::recheck()
{
    if (m_target) {
        feed({.m_kind = owner_event_kind::facts_changed, .m_facts = facts()});
    }
}

bool owner_exchange::read_head_fields()
{
    const http::header<true>& head = m_exchange.request().head();
    reason why;
    const auto left = deadline_of(head, deadline_header, default_deadline, why);
    if (!left) {
        refuse(cause::malformed_request);
        return false;
    }
    m_deadline = m_arrived + *left;
    m_request_id = text_of(head[request_id_header]);
    m_facts.m_account = text_of(head[account_header]);
    m_facts.m_route = text_of(head[route_header]);
    m_facts.m_class = head[class_header] == "long" ? config::work_class::long_work
                                                   : config::work_class::short_work;
    m_facts.m_urgency = parse_urgency(head[urgency_header]);
    m_facts.m_depth =
        static_cast<std::uint32_t>(parse_number(head[depth_header], max_depth).value_or(0));
    m_facts.m_deadline = m_deadline;
    if (const auto on_time = parse_number(head[objective_header], max_deadline.count())) {
        m_facts.m_objective = m_arrived + milliseconds(*on_time);
    }
    m_apart = head[apart_header] == "true";
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
    const std::string name = text_of(m_exchange.request().head()[target_header]);
    const auto it = m_service.m_targets.find(name);
    if (it != m_service.m_targets.end()) {
        m_target = it->second;
        m_id = m_target->next_id();
        m_facts.m_id = m_id;
        return true;
    }
    if (!m_ticket) {
        refuse(cause::misdirected);
        return false;
    }
    // The ticket may have run before the target was taken away: only the ledger knows.
    const auto known =
        m_service.m_ledger.present(*m_ticket, m_ticket->m_target, m_service.m_timers.now());
    m_state.m_has_ticket = false;
    if (known.m_verdict == outcome::ticket_verdict::run) {
        const outcome::conclusion end{outcome::outcome::not_run, cause::misdirected};
        m_service.m_ledger.finish(m_ticket->m_serial, end, nullptr, m_service.m_timers.now());
        answer(end);
    }
    else {
        answer({outcome::outcome::unknown, cause::misdirected});
    }
    return false;
}

bool owner_exchange::read_body()
{
    // A body that the entry offers by Expect is asked for once there is a slot.
    m_is_offered = m_exchange.request().head().count(http::field::expect) > 0;
    if (m_is_offered) {
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

// Asks for an offered body and takes it, whole unless it is longer than what is kept.
bool owner_exchange::collect_body()
{
    reason why;
    m_watch.reset();
    if (!m_exchange.send_continue(m_deadline, why) ||
        !m_body.collect(m_exchange.request(), m_deadline, why)) {
        m_exchange.close_after();
        feed({.m_kind = why.m_code == reason_code::timed_out ? owner_event_kind::deadline
                                                             : owner_event_kind::entry_left});
        return false;
    }
    if (m_body.whole()) {
        watch_entry();
    }
    return true;
}

void owner_exchange::watch_entry()
{
    m_watch = m_exchange.watch([this] { feed({.m_kind = owner_event_kind::entry_left}); });
}

bool owner_exchange::judge_ticket()
{
    outcome::request_content content = content_of(m_exchange.request().head(), m_body.bytes());
    m_fingerprint = outcome::make_fingerprint(content);
    // A resend may differ in headers that a quarantine would tell apart.
    content.m_headers.clear();
    const std::string digest = outcome::make_fingerprint(content);
    while (m_ticket) {
        const outcome::ticket_decision decision =
            m_service.m_ledger.present(*m_ticket, digest, m_service.m_timers.now());
        switch (decision.m_verdict) {
        case outcome::ticket_verdict::run:
            m_service.m_ticket_ends[m_ticket->m_serial] = std::make_shared<fiber_event>();
            return true;
        case outcome::ticket_verdict::attach: {
            const auto end = m_service.m_ticket_ends[m_ticket->m_serial];
            if (!end || !end->wait_for(m_deadline - clock_type::now())) {
                answer({outcome::outcome::unknown, cause::deadline});
                return false;
            }
            break;
        }
        case outcome::ticket_verdict::replay:
            m_answer = decision.m_answer;
            answer(decision.m_end);
            return false;
        case outcome::ticket_verdict::refuse:
            answer(decision.m_end);
            return false;
        }
    }
    return true;
}

bool owner_exchange::judge_quarantine()
{
    const auto verdict = m_service.m_quarantine.check(m_fingerprint, m_service.m_timers.now());
    if (verdict == outcome::quarantine_verdict::refuse) {
        m_service.m_stats.add("quarantine_refused_total");
        feed({.m_kind = owner_event_kind::refused, .m_cause = cause::quarantined});
        work();
        return false;
    }
    m_apart = m_apart || verdict == outcome::quarantine_verdict::apart;
    return true;
}

void owner_exchange::ask_for_slot()
{
    if (const auto why = outcome::refusal(facts())) {
        feed({.m_kind = owner_event_kind::refused, .m_cause = *why});
    }
    if (m_state.m_phase == owner_phase::finished) {
        return; // refused now or while the body came in: no slot is asked for
    }
    const admission::decision decision = m_target->offer(
        m_facts, m_apart,
        {.m_granted =
             [this] { feed({.m_kind = owner_event_kind::slot_granted, .m_facts = facts()}); },
         .m_refused =
             [this](milliseconds retry_after) {
                 m_retry_hint = retry_after;
                 feed({.m_kind = owner_event_kind::refused, .m_cause = cause::overloaded});
             }});
    switch (decision.m_verdict) {
    case admission::verdict::start:
        feed({.m_kind = owner_event_kind::slot_granted, .m_facts = facts()});
        return;
    case admission::verdict::queued:
        feed({.m_kind = owner_event_kind::queued});
        return;
    case admission::verdict::refused:
        m_detail = decision.m_why.m_text;
        m_retry_hint = decision.m_retry_after;
        feed({.m_kind = owner_event_kind::refused,
              .m_cause = m_apart ? cause::no_idle_target : cause::overloaded});
        return;
    }
}

void owner_exchange::work()
{
    while (true) {
        if (!m_todo.empty()) {
            const outcome::owner_action action = m_todo.front();
            m_todo.pop_front();
            do_waiting(action);
            continue;
        }
        if (m_state.m_phase == owner_phase::finished) {
            return;
        }
        m_changed.reset();
        if (!m_changed.wait_for(std::max<duration>(m_deadline - clock_type::now(), {}))) {
            feed({.m_kind = owner_event_kind::deadline});
        }
    }
}

void owner_exchange::feed(const outcome::owner_event& event)
{
    outcome::owner_step next = outcome::step(m_state, event);
    m_state = next.m_state;
    for (const outcome::owner_action& action : next.m_actions) {
        do_at_once(action);
    }
    m_changed.set();
}

void owner_exchange::do_at_once(const outcome::owner_action& action)
{
    const time_point now = m_service.m_timers.now();
    switch (action.m_kind) {
    case owner_action_kind::close_target:
        if (m_connection) {
            m_connection->m_stream.close();
        }
        return;
    case owner_action_kind::release_slot:
        m_target->release(m_id, m_run_end);
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
            m_service.m_quarantine.crashed(m_target->target().m_name + "/" +
                                               std::to_string(m_service.m_options.m_incarnation) +
                                               "/" + std::to_string(m_epoch),
                                           in_flight, now);
            m_service.m_spread.changed(m_target->target().m_service);
        }
        return;
    }
    case owner_action_kind::record:
        if (m_ticket) {
            m_service.m_ledger.finish(m_ticket->m_serial, action.m_end, m_answer, now);
            if (const auto node = m_service.m_ticket_ends.extract(m_ticket->m_serial)) {
                node.mapped()->set();
            }
        }
        return;
    default:
        m_todo.push_back(action);
        return;
    }
}

void owner_exchange::do_waiting(const outcome::owner_action& action)
{
    switch (action.m_kind) {
    case owner_action_kind::connect_target:
        connect_target();
        return;
    case owner_action_kind::write_request:
        write_request();
        return;
    case owner_action_kind::answer:
        // The caller may send it again as soon as it is answered.
        if (action.m_end.m_cause == cause::target_crashed) {
            m_service.m_spread.tell(m_target->target().m_service);
        }
        if (!m_state.m_entry_gone) {
            answer(action.m_end);
        }
        return;
    case owner_action_kind::cut_entry:
        m_exchange.close_after();
        m_exchange.stream().close();
        return;
    default:
        return;
    }
}

outcome::handover_facts owner_exchange::facts() const
{
    const std::string& name = m_target->target().m_name;
    const auto it = m_service.m_targets.find(name);
    return {.m_deadline_passed = clock_type::now() >= m_deadline,
            .m_draining = m_service.m_hooks.m_is_draining(name),
            .m_owns_target = it != m_service.m_targets.end() && it->second == m_target &&
                             !m_target->is_displaced(),
            .m_quarantined =
                m_service.m_quarantine.check(m_fingerprint, m_service.m_timers.now()) ==
                outcome::quarantine_verdict::refuse,
            .m_entry_present = !m_state.m_entry_gone};
}

void owner_exchange::connect_target()
{
    if (m_is_offered && !collect_body()) {
        return;
    }
    reason why;
    m_connection = m_target->pool().take(m_deadline, why);
    if (!m_connection) {
        feed({.m_kind = owner_event_kind::connect_failed});
        return;
    }
    feed({.m_kind = owner_event_kind::ready_to_write, .m_facts = facts()});
}

void owner_exchange::write_request()
{
    const dialect& names = m_service.m_options.m_dialect;
    http::header<true> head = m_exchange.request().head();
    remove_hop_fields(head);
    remove_own_fields(head);
    head.set(names.m_request_id, m_request_id);
    const auto left =
        std::chrono::duration_cast<milliseconds>(m_deadline - clock_type::now()).count();
    head.set(names.m_deadline, std::to_string(std::max<std::int64_t>(left, 1)));
    if (names.m_instance.empty()) {
        head.set(depth_header, std::to_string(m_facts.m_depth));
    }
    else {
        head.set(names.m_instance, m_target->target().m_name);
    }
    m_epoch = m_target->handed_over(m_id, m_fingerprint);
    message_writer writer(m_connection->m_stream);
    reason why;
    const body_framing framing = m_exchange.request().framing();
    const bool is_large = m_body.whole() && m_body.bytes().size() > eager_body_bytes;
    const std::string_view first = is_large ? std::string_view{} : m_body.bytes();
    const bool written = writer.write_head(head, framing, first, m_deadline, why);
    if (written && is_large) {
        send_kept_body(writer);
        return;
    }
    if (written && m_body.whole()) {
        writer.finish(m_deadline, why);
    }
    else if (written) {
        send_rest_of_body(writer);
    }
    if (m_state.m_phase == owner_phase::finished) {
        return;
    }
    // A target may answer before it has read all; a failed write does not say that
    // it has not.
    read_answer();
}

// A target may answer before it has read a large body, and read on only later or never,
// so the answer is read while the body is being written.
void owner_exchange::send_kept_body(message_writer& writer)
{
    m_body_sent = false;
    m_body_sender.spawn([this, &writer] {
        reason why;
        m_body_sent =
            writer.write_body(m_body.bytes(), m_deadline, why) && writer.finish(m_deadline, why);
    });
    read_answer();
    if (m_connection && !m_body_sent) {
        m_connection->m_stream.close();
    }
    m_body_sender.wait();
    m_connection.reset();
}

bool owner_exchange::send_rest_of_body(message_writer& writer)
{
    m_body.release();
    std::string piece;
    reason why;
    while (true) {
        const body_state state =
            m_exchange.request().read_body(piece, max_piece_bytes, m_deadline, why);
        if (state == body_state::failed) {
            feed({.m_kind = why.m_code == reason_code::timed_out ? owner_event_kind::deadline
                                                                 : owner_event_kind::entry_left});
            if (m_state.m_phase != owner_phase::finished) {
                feed({.m_kind = owner_event_kind::target_lost, .m_cause = cause::caller_left});
            }
            return false;
        }
        if (!writer.write_body(piece, m_deadline, why)) {
            return false;
        }
        if (state == body_state::end) {
            return writer.finish(m_deadline, why);
        }
    }
}

void owner_exchange::target_failed(const reason& why, cause otherwise)
{
    if (m_state.m_phase == owner_phase::finished) {
        return;
    }
    if (why.m_code == reason_code::timed_out) {
        feed({.m_kind = owner_event_kind::deadline});
        return;
    }
    const bool lost =
        why.m_code == reason_code::interrupted || why.m_code == reason_code::cancelled;
    const bool crashed = lost && m_target->probe_crashed(m_epoch);
    feed({.m_kind = owner_event_kind::target_lost,
          .m_cause = crashed ? cause::target_crashed : otherwise});
}

// Reads heads until one that is the answer to this request. A target may send a second
// answer to an earlier request of the connection, which its id tells.
bool owner_exchange::read_own_head(reason& why)
{
    const dialect& names = m_service.m_options.m_dialect;
    for (std::size_t skipped = 0; skipped <= max_skipped_answers; ++skipped) {
        m_reader.emplace(m_connection->m_stream, m_connection->m_buffer);
        if (names.m_unframed_answers) {
            m_reader->accept_unframed();
        }
        do {
            if (!m_reader->read_head({.m_first_byte = m_deadline}, why)) {
                return false;
            }
        } while (m_reader->head().result_int() < 200);
        const http::header<false>& head = m_reader->head();
        const auto echoed = head.find(names.m_request_id);
        const bool is_silent = echoed == head.end();
        const bool may_be_silent =
            !names.m_echo_required || names.m_judge_answer(head) == target_answer::misdirected;
        if (is_silent ? may_be_silent : echoed->value() == m_request_id) {
            return true;
        }
        if (is_silent || !names.m_echo_required || !skip_answer(why)) {
            break;
        }
    }
    why = {reason_code::conflict, "the answer is to another request"};
    return false;
}

bool owner_exchange::skip_answer(reason& why)
{
    m_service.m_stats.add("foreign_answers_total");
    std::string piece;
    body_state state = m_reader->done() ? body_state::end : body_state::more;
    while (state == body_state::more) {
        state = m_reader->read_body(piece, max_piece_bytes, m_deadline, why);
    }
    return state == body_state::end && m_reader->keep_alive();
}

void owner_exchange::read_answer()
{
    reason why;
    if (!read_own_head(why)) {
        target_failed(why, why.m_code == reason_code::conflict ? cause::foreign_answer
                                                               : cause::target_lost);
        return;
    }
    const http::header<false>& head = m_reader->head();
    if (m_exchange.request().head().method() == http::verb::head) {
        m_reader->expect_no_body();
    }
    std::string body;
    std::string piece;
    body_state state = m_reader->done() ? body_state::end : body_state::more;
    while (state == body_state::more && body.size() < whole_answer_bytes) {
        state = m_reader->read_body(piece, max_piece_bytes, m_deadline, why);
        body += piece;
    }
    const target_answer verdict = m_service.m_options.m_dialect.m_judge_answer(head);
    if (verdict == target_answer::declined || verdict == target_answer::misdirected) {
        // The word stands in the head; a cut body takes nothing from it.
        if (verdict == target_answer::misdirected) {
            m_target->displaced();
        }
        keep_connection();
        m_run_end = admission::run_end::refused;
        feed({.m_kind = owner_event_kind::target_refused,
              .m_cause = verdict == target_answer::misdirected ? cause::misdirected
                                                               : cause::target_refused});
    }
    else if (state == body_state::failed) {
        target_failed(why, cause::short_answer);
    }
    else if (verdict == target_answer::invalid) {
        target_failed({reason_code::malformed, "not an answer of the target"},
                      cause::foreign_answer);
    }
    else if (state == body_state::end) {
        take_whole_answer(head, std::move(body));
    }
    else {
        stream_answer(head, body);
    }
}

void owner_exchange::keep_connection()
{
    const bool reusable = m_reader->done() && m_reader->keep_alive() &&
                          m_state.m_phase != owner_phase::finished && m_exchange.request().done() &&
                          m_body_sent;
    const std::optional<duration> idle_limit = idle_limit_of(m_reader->head());
    m_reader.reset();
    if (reusable) {
        m_target->pool().give_back(std::move(m_connection), idle_limit);
    }
    else if (m_body_sent) {
        m_connection.reset();
    }
}

void owner_exchange::take_whole_answer(const http::header<false>& head, std::string body)
{
    outcome::kept_answer answer{.m_status = static_cast<std::uint16_t>(head.result_int()),
                                .m_body = std::move(body)};
    http::header<false> kept = head;
    remove_hop_fields(kept);
    remove_own_fields(kept);
    kept.erase(http::field::content_length);
    for (const auto& field : kept) {
        answer.m_headers.push_back({text_of(field.name_string()), text_of(field.value())});
    }
    clear_suspicion();
    m_answer = std::make_shared<const outcome::kept_answer>(std::move(answer));
    keep_connection();
    m_run_end = admission::run_end::complete;
    feed({.m_kind = owner_event_kind::answer_whole});
}

void owner_exchange::stream_answer(const http::header<false>& target_head,
                                   const std::string& first_piece)
{
    http::header<false> head = target_head;
    remove_hop_fields(head);
    remove_own_fields(head);
    head.erase(http::field::content_length);
    add_own_fields(head);
    head.set(outcome_header, "complete");
    feed({.m_kind = owner_event_kind::answer_begins});
    m_watch.reset();
    reason why;
    if (!m_exchange.begin(head, m_reader->content_length(), first_piece, m_deadline, why)) {
        feed({.m_kind = owner_event_kind::entry_left});
    }
    std::string piece;
    body_state state = body_state::more;
    while (state == body_state::more && m_state.m_phase != owner_phase::finished) {
        state = m_reader->read_body(piece, max_piece_bytes, m_deadline, why);
        if (state == body_state::failed) {
            target_failed(why, cause::short_answer);
        }
        else if (!m_state.m_entry_gone && !m_exchange.write(piece, m_deadline, why)) {
            feed({.m_kind = owner_event_kind::entry_left});
        }
    }
    if (state == body_state::end && m_state.m_phase != owner_phase::finished) {
        clear_suspicion();
        keep_connection();
        m_run_end = admission::run_end::complete;
        feed({.m_kind = owner_event_kind::answer_whole});
        m_exchange.finish(m_deadline, why);
    }
}

void owner_exchange::clear_suspicion()
{
    if (m_target->runs_alone(m_id) &&
        m_service.m_quarantine.ran_well(m_fingerprint, m_service.m_timers.now())) {
        m_service.m_spread.tell_later(m_target->target().m_service);
    }
}

void owner_exchange::refuse(cause why, milliseconds retry_hint)
{
    m_retry_hint = retry_hint;
    // Another send with the ticket may have run, and the ledger has not been asked.
    const bool has_ticket = m_exchange.request().head().count(ticket_header) > 0;
    answer(outcome::conclude(outcome::make_entry_state({.m_has_ticket = has_ticket}), why));
}

void owner_exchange::add_own_fields(http::header<false>& head) const
{
    head.set(request_id_header, m_request_id);
    if (!m_target) {
        // Not this owner's target: entries are not to send it more for a while.
        head.set(word_header, word_text({}, m_service.m_options.m_incarnation, true));
    }
    else {
        head.set(word_header,
                 word_text(m_target->word(), m_service.m_options.m_incarnation,
                           m_target->is_displaced() ||
                               m_service.m_hooks.m_is_draining(m_target->target().m_name)));
    }
}

void owner_exchange::answer(const outcome::conclusion& end)
{
    m_service.m_stats.add("owner_requests_total",
                          {{"outcome", std::string(outcome::to_string(end.m_outcome))},
                           {"reason", std::string(outcome::to_string(end.m_cause))}});
    log_end(end);
    if (end.m_outcome == outcome::outcome::complete && m_answer) {
        send_whole(m_answer->m_status, *m_answer);
        return;
    }
    http::header<false> head;
    set_conclusion(head, end, m_retry_hint);
    if (m_retry_hint > milliseconds::zero()) {
        head.set(retry_after_header, std::to_string(m_retry_hint.count()));
    }
    add_own_fields(head);
    reason why;
    m_watch.reset();
    m_exchange.respond(head, {}, clock_type::now() + answer_limit, why);
}

void owner_exchange::log_end(const outcome::conclusion& end) const
{
    const admission::load_word load = m_target ? m_target->word() : admission::load_word{};
    const auto ms = [](time_point since) {
        return std::chrono::duration<double, std::milli>(clock_type::now() - since).count();
    };
    log_request(end.m_outcome == outcome::outcome::complete ? log_level::debug : log_level::info,
                "owner_request",
                {{"id", m_request_id},
                 {"route", m_facts.m_route},
                 {"target", m_target ? m_target->target().m_name : ""},
                 {"outcome", outcome::to_string(end.m_outcome)},
                 {"reason", outcome::to_string(end.m_cause)},
                 {"detail", m_detail},
                 {"free_slots", load.m_free},
                 {"queued", load.m_queued},
                 {"left_ms", -ms(m_deadline)},
                 {"ms", ms(m_arrived)}});
}

void owner_exchange::send_whole(std::uint16_t status, const outcome::kept_answer& answer)
{
    http::header<false> head;
    head.result(status);
    for (const auto& field : answer.m_headers) {
        head.insert(field.m_name, field.m_value);
    }
    add_own_fields(head);
    head.set(outcome_header, "complete");
    reason why;
    m_watch.reset();
    m_exchange.respond(head, answer.m_body, clock_type::now() + answer_limit, why);
}

} // namespace pomelohead::forwarding
