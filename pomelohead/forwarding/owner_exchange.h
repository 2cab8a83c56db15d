// Serves one request at its owner, from the head that the entry sends to the end of the response.
//
// owner_machine decides; this class performs its actions on the connections to the entry and to
// the target. process_event() may be called from the event loop (a slot is granted, the entry has
// disconnected): actions that do not block run at once, the others in the exchange's own fiber,
// in run().
#pragma once

#include "pomelohead/forwarding/owner_service.h"
#include "pomelohead/outcome/owner_machine.h"

#include <deque>

namespace pomelohead::forwarding {

/// Serves one request from an entry.
class owner_exchange {
public:
    /// Both must outlive the object.
    owner_exchange(owner_service& service, server_exchange& exchange);
    owner_exchange(const owner_exchange&) = delete;
    owner_exchange& operator=(const owner_exchange&) = delete;

    /// Returns once the response has been sent or the connection is to be closed.
    void run();

    /// Records the request if its connection ends without a complete response. For use after run().
    void record_if_unanswered() const;

    /// Ends the request after an exception has left run().
    void fail();

    /// Reevaluates the preconditions of the request, unless it has been handed over.
    void reevaluate();

private:
    bool read_request_headers();
    bool find_target();
    bool check_version();
    bool read_body();
    bool collect_body();
    void watch_entry();
    bool check_ticket();
    bool check_quarantine();
    void request_slot();
    void run_actions();

    void process_event(const outcome::owner_event& event);
    void execute_immediate(const outcome::owner_action& action);
    void execute_blocking(const outcome::owner_action& action);
    [[nodiscard]] outcome::handover_conditions current_facts() const;

    void connect_target();
    void write_request();
    bool stream_remaining_body();
    void send_buffered_body();
    [[nodiscard]] bool read_matching_head(reason& why);
    bool discard_response(reason& why);
    [[nodiscard]] bool is_request_written();
    void read_response();
    void finish_buffered_response(const http::header<false>& head, std::string body);
    void stream_response(const http::header<false>& head, const std::string& first_piece);
    void handle_target_failure(const reason& why, outcome::cause fallback_cause);
    void return_connection(bool is_wanted = true);
    void clear_crash_suspicion();

    void refuse(outcome::cause why, milliseconds retry_hint = {});
    void send_conclusion(const outcome::conclusion& conclusion);
    void log_outcome(const outcome::conclusion& conclusion) const;
    void send_buffered_response(std::uint16_t status, const outcome::stored_answer& response);
    void add_protocol_headers(http::header<false>& head) const;

    owner_service& m_service;
    server_exchange& m_exchange;
    std::shared_ptr<owned_target> m_target;
    std::uint64_t m_id = 0;
    std::string m_request_id;
    time_point m_deadline{};
    admission::request_facts m_facts;
    std::string m_fingerprint;
    bool m_isolated = false;
    std::uint64_t m_epoch = 0;
    time_point m_handed_over{};
    std::optional<time_point> m_entry_left_at;
    milliseconds m_retry_hint{};
    std::string m_detail; ///< reason of a refusal, for the log
    std::optional<outcome::ticket> m_ticket;
    buffered_body m_body;
    bool m_expects_continue = false; ///< the entry sends the body only after 100 Continue

    outcome::owner_state m_state;
    std::deque<outcome::owner_action> m_pending_actions;
    fiber_event m_event_processed;
    std::unique_ptr<exchange_watch> m_watch;
    std::unique_ptr<client_connection> m_connection;
    std::optional<message_writer> m_writer;
    std::optional<response_reader> m_reader;
    bool m_response_has_id = false; ///< the response names the request that it belongs to
    fiber_group m_body_sender;
    outcome::stored_answer_ptr
        m_buffered_response; ///< the target's complete response, if it is small
    admission::request_end m_slot_result =
        admission::request_end::aborted; ///< reported to admission when the slot is released
    duration m_unread{};                 ///< for which its bytes had been here when it was read
    time_point m_arrived{};              ///< when its bytes did; its time runs from then on
};

} // namespace pomelohead::forwarding
