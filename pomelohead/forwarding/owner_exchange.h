// One request at its owner, from the entry's head to the end of the answer.
//
// The decisions are owner_machine's; this class does what they say over the two
// connections. feed() may be called from the event loop (a slot is granted, the
// entry has gone): what does not wait is done at once, the rest by the exchange's
// own fiber in run().
#pragma once

#include "pomelohead/forwarding/owner_service.h"
#include "pomelohead/outcome/owner_machine.h"

#include <deque>

namespace pomelohead::forwarding {

/// Serves one request of an entry.
class owner_exchange {
public:
    /// Both must outlive the object.
    owner_exchange(owner_service& service, server_exchange& exchange);
    owner_exchange(const owner_exchange&) = delete;
    owner_exchange& operator=(const owner_exchange&) = delete;

    /// Returns when the answer has been sent or the connection is to be closed.
    void run();

    /// Judges the request again, if it has not been handed over.
    void recheck();

private:
    bool read_head_fields();
    bool find_target();
    bool read_body();
    bool collect_body();
    void watch_entry();
    bool judge_ticket();
    bool judge_quarantine();
    void ask_for_slot();
    void work();

    void feed(const outcome::owner_event& event);
    void do_at_once(const outcome::owner_action& action);
    void do_waiting(const outcome::owner_action& action);
    [[nodiscard]] outcome::handover_facts facts() const;

    void connect_target();
    void write_request();
    bool send_rest_of_body(message_writer& writer);
    void send_kept_body(message_writer& writer);
    [[nodiscard]] bool read_own_head(reason& why);
    bool skip_answer(reason& why);
    void read_answer();
    void take_whole_answer(const http::header<false>& head, std::string body);
    void stream_answer(const http::header<false>& head, const std::string& first_piece);
    void target_failed(const reason& why, outcome::cause otherwise);
    void keep_connection();
    void clear_suspicion();

    void refuse(outcome::cause why, milliseconds retry_hint = {});
    void answer(const outcome::conclusion& end);
    void log_end(const outcome::conclusion& end) const;
    void send_whole(std::uint16_t status, const outcome::kept_answer& answer);
    void add_own_fields(http::header<false>& head) const;

    owner_service& m_service;
    server_exchange& m_exchange;
    std::shared_ptr<owned_target> m_target;
    std::uint64_t m_id = 0;
    std::string m_request_id;
    time_point m_deadline{};
    admission::request_facts m_facts;
    std::string m_fingerprint;
    bool m_apart = false;
    std::uint64_t m_epoch = 0;
    milliseconds m_retry_hint{};
    std::string m_detail; ///< why it was refused, in the log line
    std::optional<outcome::ticket> m_ticket;
    kept_body m_body;
    bool m_is_offered = false; ///< the entry sends the body once it is asked to

    outcome::owner_state m_state;
    std::deque<outcome::owner_action> m_todo;
    fiber_event m_changed;
    std::unique_ptr<exchange_watch> m_watch;
    std::unique_ptr<client_connection> m_connection;
    std::optional<response_reader> m_reader;
    bool m_body_sent = true; ///< the target's connection has been given the whole request
    fiber_group m_body_sender;
    outcome::kept_answer_ptr m_answer; ///< the target's whole answer, where it is small
    admission::run_end m_run_end = admission::run_end::cut; ///< what its slot is given back with
    time_point m_arrived{};
};

} // namespace pomelohead::forwarding
