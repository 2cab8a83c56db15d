#include "pomelohead/forwarding/entry_exchange.h"

#include "pomelohead/forwarding/headers.h"
#include "pomelohead/forwarding/socket_state.h"
#include "pomelohead/forwarding/unanswered_request.h"
#include "pomelohead/runtime/guarded_call.h"
#include "pomelohead/telemetry/log.h"

namespace pomelohead::forwarding {
namespace {

using outcome::cause;
using outcome::entry_action_kind;
using outcome::entry_event_kind;

constexpr std::uint64_t max_short_body_bytes = 8ULL * 1024 * 1024;
constexpr std::uint64_t max_long_body_bytes = 64ULL * 1024 * 1024 * 1024;
constexpr std::size_t max_request_id_bytes = 128;
constexpr duration response_write_timeout = std::chrono::seconds(10);

// Limit on the reason in a log line, which names each target of a service.
constexpr std::size_t max_detail_bytes = 600;

// Time after the caller's deadline in which an owner's own "not run" may still arrive.
constexpr duration deadline_grace = std::chrono::milliseconds(20);

bool is_valid_request_id(std::string_view text)
{
    return !text.empty() && text.size() <= max_request_id_bytes &&
           std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7f; });
}

} // namespace

entry_exchange::entry_exchange(entry_service& service, server_exchange& exchange)
    : m_service(service), m_exchange(exchange),
      m_body(service.m_body_budget, service.m_options.m_max_buffered_bytes_per_request),
      m_request{.m_exchange = exchange,
                .m_body = m_body,
                .m_on_event = [this](const outcome::entry_event& e) { process_event(e); },
                .m_has_caller_left = [this] { return end_if_caller_left(); },
                .m_is_suspect = [this] { return outcome::must_run_alone(m_state); },
                .m_on_retry_hint =
                    [this](milliseconds hint) {
                        const bool is_first = m_retry_hint == milliseconds::zero();
                        m_retry_hint = is_first ? hint : std::min(m_retry_hint, hint);
                    }},
      m_unread(time_since_last_data(exchange.stream())), m_arrived(clock_type::now() - m_unread)
{
}

void entry_exchange::run()
{
    if (!read_caller_headers() || !find_route() || !read_body() || !fit_into_stop()) {
        return;
    }
    build_owner_request_head();
    m_state = outcome::make_entry_state({.m_idempotent = m_route->m_idempotent,
                                         .m_has_ticket = m_ticket.has_value(),
                                         .m_max_attempts = m_service.max_attempts(),
                                         .m_max_targets = m_route->m_max_targets});
    if (!m_request.m_streamed) {
        m_watch = m_exchange.watch(
            [this] { process_event({.m_kind = entry_event_kind::caller_disconnected}); });
    }
    choose_owner();
    run_actions();
    m_watch.reset();
    m_fibers.wait();
    record_hedge_end();
}

// A host that is late to read finds a request and the end of its connection at once, and the watch
// tells of the end only once the event loop runs again.
bool entry_exchange::end_if_caller_left()
{
    const bool is_left = m_exchange.has_caller_left();
    if (is_left) {
        process_event({.m_kind = entry_event_kind::caller_disconnected});
    }
    return is_left;
}

std::optional<time_point> entry_exchange::last_written_at() const
{
    std::optional<time_point> last;
    for (const auto& attempt : m_attempts) {
        last = std::max(last, attempt->written_at());
    }
    return last;
}

void entry_exchange::record_if_unanswered() const
{
    if (m_exchange.is_answered()) {
        return;
    }
    const std::optional<time_point> last_written = last_written_at();
    const request_phase phase = m_exchange.answered()         ? request_phase::answering
                                : last_written                ? request_phase::at_target
                                : m_exchange.request().done() ? request_phase::queued
                                                              : request_phase::reading;
    if (m_exchange.has_caller_left()) {
        const time_point left_at = m_caller_left_at.value_or(clock_type::now());
        record_caller_left(m_service.m_stats,
                           {m_request_id, phase, request_side::caller, m_unread,
                            clock_type::now() - m_arrived, !is_closed_by_peer(m_exchange.stream()),
                            last_written ? std::optional(left_at - *last_written) : std::nullopt});
        return;
    }
    std::string why(outcome::to_string(m_state.m_last_cause));
    if (!m_exchange.failure().empty()) {
        why += ": " + m_exchange.failure();
    }
    record_unanswered(m_service.m_stats, {m_request_id, phase, request_side::caller, why});
}

void entry_exchange::fail()
{
    m_exchange.close_after();
    for (const auto& attempt : m_attempts) {
        attempt->abandon();
    }
    if (!m_exchange.answered() && !m_state.m_finished) {
        send_conclusion(outcome::conclude(m_state, cause::internal_error));
    }
    m_watch.reset();
    m_fibers.wait();
    record_hedge_end();
}

bool entry_exchange::read_caller_headers()
{
    const http::header<true>& head = m_exchange.request().head();
    const std::string& id_header = m_service.m_options.m_dialect.m_request_id;
    const std::string_view id = head[id_header];
    if (head.count(id_header) > 0 && !is_valid_request_id(id)) {
        refuse(cause::malformed_request, "invalid " + id_header);
        return false;
    }
    m_request_id = id.empty() ? m_service.make_request_id() : std::string(id);
    const auto depth = parse_number(head[depth_header], max_depth);
    if (head.count(depth_header) > 0 && !depth) {
        refuse(cause::malformed_request, "invalid Pomelohead-Depth");
        return false;
    }
    m_call.m_depth = static_cast<std::uint32_t>(depth.value_or(0));
    if (head.count(ticket_header) > 0) {
        reason why;
        m_ticket = outcome::parse_ticket(head[ticket_header], why);
        if (!m_ticket) {
            refuse(cause::malformed_ticket, why.m_text);
            return false;
        }
    }
    return true;
}

bool entry_exchange::find_route()
{
    const http::header<true>& head = m_exchange.request().head();
    m_config = m_service.m_callbacks.m_config();
    if (!m_config) {
        refuse(cause::no_owner, "no configuration is in force yet");
        return false;
    }
    m_route = m_config->find_route(head.method_string(), head.target(), head[http::field::host]);
    if (m_route == nullptr) {
        // A node that is behind cannot tell that there is none, and "no route" ends all retries.
        const bool is_certain = m_service.m_callbacks.m_is_config_current();
        m_retry_hint = outdated_retry_hint;
        refuse(is_certain ? cause::no_route : cause::outdated_configuration);
        return false;
    }
    m_target_service = m_config->find_service(m_service.m_shares.next(*m_route));
    m_call.m_class = m_route->m_class;
    m_call.m_urgency = m_route->m_urgency;
    m_call.m_idempotent = m_route->m_idempotent;
    m_call.m_route = m_route->m_name;
    reason why;
    const auto time_left =
        parse_deadline(head, m_service.m_options.m_dialect.m_deadline, m_route->m_deadline, why);
    if (!time_left) {
        refuse(cause::malformed_request, why.m_text);
        return false;
    }
    m_request.m_deadline = m_arrived + std::min(*time_left, m_route->m_deadline);
    if (clock_type::now() >= m_request.m_deadline) {
        refuse(cause::deadline, "its time had passed when it was read");
        return false;
    }
    if (m_route->m_objective > milliseconds::zero()) {
        m_request.m_objective = m_arrived + m_route->m_objective;
    }
    m_request.m_class = m_route->m_class;
    return true;
}

bool entry_exchange::read_body()
{
    request_reader& request = m_exchange.request();
    const std::uint64_t max_body_bytes =
        std::min(m_config->m_limits.m_max_body_bytes,
                 m_route->m_class == config::work_class::long_work ? max_long_body_bytes
                                                                   : max_short_body_bytes);
    if (request.content_length().value_or(0) > max_body_bytes) {
        refuse(cause::body_too_large);
        return false;
    }
    reason why;
    if (!m_exchange.send_continue(m_request.m_deadline, why) ||
        !m_body.collect(request, m_request.m_deadline, why)) {
        m_exchange.close_after();
        if (why.m_code == reason_code::timed_out) {
            refuse(cause::deadline, "timed out waiting for the request body");
        }
        else if (why.m_code == reason_code::malformed) {
            refuse(cause::malformed_request, why.m_text);
        }
        return false;
    }
    m_request.m_streamed = !m_body.is_complete();
    m_call.m_transfer_bytes = request.content_length().value_or(m_body.bytes().size()) +
                              m_service.m_response_sizes.expected(m_route->m_name);
    return true;
}

// A stop cuts what is in progress at its end. A request gets its final answer before that: it has
// no more time than is left, and if it comes when the node takes no connections any more, it must
// be able to use all of its time.
bool entry_exchange::fit_into_stop()
{
    const time_point finish_by = m_service.m_callbacks.m_finish_by();
    if (m_request.m_deadline <= finish_by) {
        return true;
    }
    if (m_service.m_server.is_listener_closed()) {
        m_exchange.close_after();
        refuse(cause::draining, "the node stops before the request's deadline");
        return false;
    }
    m_request.m_deadline = finish_by;
    return true;
}

void entry_exchange::build_owner_request_head()
{
    http::header<true>& head = m_request.m_head;
    head = m_exchange.request().head();
    remove_hop_by_hop_headers(head);
    remove_protocol_headers(head);
    if (!m_service.m_options.m_dialect.m_caller_service.empty()) {
        head.set(m_service.m_options.m_dialect.m_caller_service, m_service.m_options.m_service);
    }
    head.set(request_id_header, m_request_id);
    head.set(route_header, m_route->m_name);
    head.set(account_header, m_route->m_account);
    head.set(class_header, config::to_string(m_route->m_class));
    head.set(urgency_header, config::to_string(m_route->m_urgency));
    head.set(version_header, std::to_string(m_config->m_version));
    head.set(depth_header, std::to_string(m_call.m_depth));
    if (m_ticket) {
        head.set(ticket_header, outcome::to_text(*m_ticket));
        m_request.m_ticket_owner = m_ticket->m_address;
    }
}

time_point entry_exchange::next_timeout()
{
    const time_point deadline = m_request.m_deadline + deadline_grace;
    return m_hedge_at ? std::min(*m_hedge_at, deadline) : deadline;
}

void entry_exchange::run_actions()
{
    while (true) {
        if (!m_pending_actions.empty()) {
            const outcome::entry_action action = m_pending_actions.front();
            m_pending_actions.pop_front();
            execute_blocking(action);
            continue;
        }
        if (m_state.m_finished) {
            return;
        }
        m_event_processed.reset();
        const time_point wake = next_timeout();
        if (m_event_processed.wait_for(std::max<duration>(wake - clock_type::now(), {}))) {
            continue;
        }
        if (m_hedge_at && wake == *m_hedge_at) {
            m_hedge_at.reset();
            send_hedge();
        }
        else {
            process_event({.m_kind = entry_event_kind::deadline});
        }
    }
}

void entry_exchange::process_event(const outcome::entry_event& event)
{
    if (event.m_kind == entry_event_kind::caller_disconnected && !m_caller_left_at) {
        m_caller_left_at = clock_type::now();
    }
    outcome::entry_step next = outcome::step(m_state, event);
    m_state = std::move(next.m_state);
    for (const outcome::entry_action& action : next.m_actions) {
        execute_immediate(action);
    }
    m_event_processed.set();
}

void entry_exchange::execute_immediate(const outcome::entry_action& action)
{
    if (action.m_kind == entry_action_kind::abandon) {
        m_attempts[action.m_attempt]->abandon();
    }
    else {
        m_pending_actions.push_back(action);
    }
}

void entry_exchange::execute_blocking(const outcome::entry_action& action)
{
    switch (action.m_kind) {
    case entry_action_kind::choose_owner:
        choose_owner();
        return;
    case entry_action_kind::forward_answer:
        forward_response(action.m_attempt);
        return;
    case entry_action_kind::answer:
        send_conclusion(action.m_end);
        return;
    case entry_action_kind::close_caller:
        m_exchange.close_after();
        m_exchange.stream().close();
        record({outcome::outcome::unknown, m_state.m_last_cause}, 0);
        return;
    case entry_action_kind::abandon:
        return;
    }
}

bool entry_exchange::consume_retry_budget()
{
    const time_point now = m_service.m_timers.now();
    const outcome::attempt_phase last = m_state.m_attempts[m_state.m_last_ended];
    const bool never_ran = last == outcome::attempt_phase::not_run;
    // A target without a free slot has been asked, not used.
    if (m_attempts[m_state.m_last_ended]->was_busy()) {
        return true;
    }
    // An attempt at an owner that is draining, gone or at its target's rate costs that target
    // nothing, so it must not consume the budget shared with resends under overload.
    const cause why = m_state.m_last_cause;
    if (last == outcome::attempt_phase::not_sent || why == cause::draining ||
        why == cause::misdirected || why == cause::rate_limited) {
        m_service.m_stats.add("retries_total", {{"after", "left"}});
        return true;
    }
    routing::retry_policy& retries = m_service.m_retries;
    const duration waited = clock_type::now() - m_arrived;
    const std::string& service = m_target_service->m_name;
    const bool granted = why == cause::target_refused
                             ? retries.may_retry_refused(m_call, now, service)
                         : never_ran ? retries.may_resend(m_call, waited, now)
                                     : retries.may_retry(m_call, now, service);
    m_service.m_stats.add(granted ? "retries_total" : "retries_refused_total",
                          {{"after", never_ran ? "not-run" : "unknown"}});
    return granted;
}

std::vector<std::string> entry_exchange::tried_targets() const
{
    std::vector<std::string> tried;
    for (const auto& attempt : m_attempts) {
        tried.push_back(attempt->target().m_name);
    }
    return tried;
}

void entry_exchange::choose_owner()
{
    if (!can_start_fibers(1)) {
        m_detail = "no memory for the fiber of an attempt";
        process_event({.m_kind = entry_event_kind::no_owner});
        return;
    }
    if (m_ticket) {
        // Tickets come from callers; connect only to known hosts of the mesh.
        if (!m_service.m_callbacks.m_is_host(m_ticket->m_address)) {
            process_event({.m_kind = entry_event_kind::no_owner});
            return;
        }
        config::target owner;
        owner.m_name = m_ticket->m_target;
        owner.m_host = m_ticket->m_address;
        start_attempt(std::move(owner), admission::queueing::allowed);
        return;
    }
    std::vector<std::string> tried;
    std::vector<std::string> busy;
    for (const auto& attempt : m_attempts) {
        (attempt->was_busy() ? busy : tried).push_back(attempt->target().m_name);
    }
    reason why;
    auto target = m_service.choose_target(*m_config, *m_target_service, m_call, tried, busy, why);
    if (!target) {
        m_detail = why.m_text.substr(0, max_detail_bytes);
        process_event({.m_kind = entry_event_kind::no_owner});
        return;
    }
    if (!m_attempts.empty() && !consume_retry_budget()) {
        process_event({.m_kind = entry_event_kind::retry_refused});
        return;
    }
    const bool may_wait =
        m_attempts.size() >= m_service.m_options.m_routing.max_immediate_attempts() ||
        std::ranges::find(busy, target->m_name) != busy.end() ||
        !m_service.m_selector.has_headroom(*m_target_service, m_call, m_service.m_timers.now());
    start_attempt(std::move(*target),
                  may_wait ? admission::queueing::allowed : admission::queueing::none);
    if (m_attempts.size() == 1) {
        m_service.m_hedges.record_request(m_target_service->m_name, m_service.m_timers.now());
        plan_hedge();
    }
}

void entry_exchange::start_attempt(config::target target, admission::queueing queueing)
{
    process_event({.m_kind = entry_event_kind::owner_chosen});
    auto attempt = std::make_shared<entry_attempt>(m_service, m_request, m_attempts.size(),
                                                   std::move(target), queueing);
    m_attempts.push_back(attempt);
    m_fibers.spawn([attempt] {
        if (!guarded_call("request_failed", [&] { attempt->run(); })) {
            attempt->fail();
        }
    });
}

void entry_exchange::forward_response(std::size_t index)
{
    entry_attempt& attempt = *m_attempts[index];
    http::header<false> head = attempt.head();
    remove_hop_by_hop_headers(head);
    remove_protocol_headers(head);
    m_service.m_options.m_dialect.m_write_complete_headers(head, m_request_id);
    const unsigned status = head.result_int();
    process_event({.m_kind = entry_event_kind::before_answer_write});
    m_watch.reset();
    bool sent = false;
    m_service.m_response_sizes.record(
        m_route->m_name, attempt.answer_length().value_or(attempt.response_prefix().size()));
    if (attempt.is_fully_buffered()) {
        reason why;
        const std::string body = attempt.response_prefix();
        attempt.finish(true);
        sent = m_exchange.respond(head, body, clock_type::now() + response_write_timeout, why);
    }
    else {
        sent = stream_response(attempt, std::move(head));
    }
    if (m_state.m_finished) {
        return;
    }
    if (!sent) {
        process_event({.m_kind = entry_event_kind::caller_disconnected});
        return;
    }
    process_event({.m_kind = entry_event_kind::answer_sent});
    const time_point now = m_service.m_timers.now();
    m_service.m_retries.record_success(now, m_target_service->m_name);
    if (m_call.m_class == config::work_class::short_work) {
        m_service.m_hedges.record_success(m_route->m_name, clock_type::now() - m_arrived);
    }
    record({outcome::outcome::complete, cause::none}, status);
}

bool entry_exchange::stream_response(entry_attempt& attempt, http::header<false> head)
{
    reason why;
    const time_point deadline = m_request.m_deadline;
    if (!m_exchange.begin(std::move(head), attempt.answer_length(), attempt.response_prefix(),
                          deadline, why)) {
        return false;
    }
    std::string piece;
    body_state state = body_state::more;
    while (state == body_state::more) {
        state = attempt.read_body_piece(piece, why);
        if (state == body_state::failed) {
            process_event({.m_kind = entry_event_kind::connection_lost,
                           .m_attempt = static_cast<std::size_t>(
                               std::ranges::find_if(
                                   m_attempts, [&](const auto& a) { return a.get() == &attempt; }) -
                               m_attempts.begin()),
                           .m_cause = cause::truncated_answer});
            return false;
        }
        if (!m_exchange.write(piece, deadline, why)) {
            return false;
        }
    }
    attempt.finish(true);
    return m_exchange.finish(deadline, why);
}

void entry_exchange::refuse(cause why, std::string_view detail)
{
    m_detail = detail;
    const bool has_ticket = m_exchange.request().head().count(ticket_header) > 0;
    send_conclusion(
        outcome::conclude(outcome::make_entry_state({.m_has_ticket = has_ticket}), why));
}

void entry_exchange::send_conclusion(const outcome::conclusion& conclusion)
{
    http::header<false> head;
    m_service.m_options.m_dialect.m_write_conclusion(head, conclusion, m_retry_hint);
    head.set(m_service.m_options.m_dialect.m_request_id, m_request_id);
    m_watch.reset();
    // Record before the write, so that the metrics count a response by the time the caller has it.
    record(conclusion, head.result_int());
    reason why;
    m_exchange.respond(head, {}, clock_type::now() + response_write_timeout, why);
}

void entry_exchange::record(const outcome::conclusion& conclusion, unsigned status)
{
    const duration took = clock_type::now() - m_arrived;
    const std::string account = m_route != nullptr ? m_route->m_account : "";
    const std::string work_class =
        m_route != nullptr ? std::string(config::to_string(m_route->m_class)) : "";
    const std::string outcome_text(outcome::to_string(conclusion.m_outcome));
    const auto ms = [](duration d) { return std::chrono::duration<double, std::milli>(d).count(); };
    m_service.m_stats.add("requests_total",
                          {{"account", account},
                           {"class", work_class},
                           {"outcome", outcome_text},
                           {"reason", std::string(outcome::to_string(conclusion.m_cause))}});
    if (m_route != nullptr && conclusion.m_outcome == outcome::outcome::complete) {
        m_service.m_stats.request_latency(account, work_class).record(took);
    }
    log_request(conclusion.m_outcome == outcome::outcome::complete ? log_level::debug
                                                                   : log_level::info,
                "request",
                {{"id", m_request_id},
                 {"account", account},
                 {"class", work_class},
                 {"route", m_route != nullptr ? m_route->m_name : ""},
                 {"version", m_config ? m_config->m_version : 0},
                 {"config_age_ms", ms(m_service.m_callbacks.m_config_age().value_or(duration{}))},
                 {"target", m_attempts.empty() ? "" : m_attempts.back()->target().m_name},
                 {"attempts", m_attempts.size()},
                 {"outcome", outcome_text},
                 {"reason", outcome::to_string(conclusion.m_cause)},
                 {"detail", m_detail},
                 {"buffered_body_bytes", m_body.bytes().size()},
                 {"status", status},
                 {"unread_ms", ms(m_unread)},
                 {"ms", ms(took)}});
}

} // namespace pomelohead::forwarding
