// Serves one caller's request at its entry, from the head to the end of the response.
//
// entry_machine decides; this class performs its actions: it selects owners, starts attempts and
// forwards one response. Events may come from the event loop and from the fibers of the attempts;
// actions that block run in the exchange's own fiber, in run().
#pragma once

#include "pomelohead/forwarding/entry_attempt.h"
#include "pomelohead/outcome/ticket.h"

#include <deque>

namespace pomelohead::forwarding {

/// Serves one request from a caller.
class entry_exchange {
public:
    /// Both must outlive the object.
    entry_exchange(entry_service& service, server_exchange& exchange);
    entry_exchange(const entry_exchange&) = delete;
    entry_exchange& operator=(const entry_exchange&) = delete;

    /// Returns once the response has been sent or the connection is to be closed, and all attempts
    /// have ended.
    void run();

    /// Records the request if its connection ends without a complete response. For use after run().
    void record_if_unanswered() const;

    /// Ends the request after an exception has left run().
    void fail();

private:
    bool find_route();
    bool read_caller_headers();
    bool read_body();
    bool fit_into_stop();
    void build_owner_request_head();
    bool end_if_caller_left();
    [[nodiscard]] std::optional<time_point> last_written_at() const;
    void run_actions();
    [[nodiscard]] time_point next_timeout();

    void process_event(const outcome::entry_event& event);
    void execute_immediate(const outcome::entry_action& action);
    void execute_blocking(const outcome::entry_action& action);

    [[nodiscard]] std::vector<std::string> tried_targets() const;
    void choose_owner();
    [[nodiscard]] bool consume_retry_budget();
    void start_attempt(config::target target, admission::queueing queueing);
    void plan_hedge();
    void send_hedge();
    void record_hedge_end() const;
    void count_hedge(std::string_view result) const;
    void forward_response(std::size_t attempt);
    bool stream_response(entry_attempt& attempt, http::header<false> head);
    void refuse(outcome::cause why, std::string_view detail = {});
    void send_conclusion(const outcome::conclusion& conclusion);
    void record(const outcome::conclusion& conclusion, unsigned status);

    entry_service& m_service;
    server_exchange& m_exchange;
    config::snapshot_ptr m_config;
    const config::route* m_route = nullptr;
    const config::service* m_target_service = nullptr;
    routing::call_attributes m_call;
    std::string m_request_id;
    std::optional<outcome::ticket> m_ticket;
    buffered_body m_body;
    attempt_request m_request;
    duration m_unread{};         ///< for which its bytes had been here when it was read
    time_point m_arrived{};      ///< when its bytes did; its time runs from then on
    milliseconds m_retry_hint{}; ///< the shortest retry delay that a refusing owner advised
    std::string m_detail;        ///< explanation of a refusal, for the log

    outcome::entry_state m_state;
    std::deque<outcome::entry_action> m_pending_actions;
    fiber_event m_event_processed;
    std::optional<time_point> m_caller_left_at;
    std::vector<std::shared_ptr<entry_attempt>> m_attempts;
    std::optional<time_point> m_hedge_at;
    std::string_view m_hedge_not_sent; ///< result to count if no hedge is sent; empty: none was due
    std::string m_hedge_detail;        ///< explanation of m_hedge_not_sent, for the log
    std::unique_ptr<exchange_watch> m_watch;
    fiber_group m_fibers;
};

} // namespace pomelohead::forwarding
