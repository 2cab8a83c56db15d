// One attempt of an entry at one owner, in a fiber of its own.
//
// An attempt opens or reuses a connection, writes the request, reads the owner's
// word and the head of its answer, and tells its entry_exchange by events. Its
// connection goes back to the pool only after a whole answer.
#pragma once

#include "pomelohead/forwarding/entry_service.h"
#include "pomelohead/outcome/entry_machine.h"

namespace pomelohead::forwarding {

/// What all attempts of one request send, and whom they tell.
struct attempt_request {
    server_exchange& m_exchange; ///< the caller's
    buffered_body& m_body;
    http::header<true> m_head; ///< as owners get it, but for what each attempt adds
    bool m_streamed = false;   ///< the body goes on as it comes in, not only from m_body
    time_point m_deadline{};
    time_point m_objective{};   ///< an answer after it is late; zero: no objective is stated
    std::string m_ticket_owner; ///< the address to go to; empty: the target's host
    config::work_class m_class = config::work_class::short_work;
    std::function<void(const outcome::entry_event&)> m_on_event;
    std::function<bool()> m_is_suspect;
    std::function<void(milliseconds)> m_on_retry_hint; ///< an owner's advice when to come back
};

/// One attempt. Kept by shared_ptr until its fiber and its request are done with it.
class entry_attempt {
public:
    entry_attempt(entry_service& service, attempt_request& request, std::size_t index,
                  config::target target);

    /// Runs until the answer's first bytes are here or the attempt has failed.
    void run();

    /// Closes the connection; run() ends soon.
    void abandon();

    /// Reads more of the answer, after the first bytes.
    body_state read_body_piece(std::string& piece, reason& why);

    /// Ends the attempt after the answer was passed on (or not).
    void finish(bool fully_forwarded);

    [[nodiscard]] const config::target& target() const { return m_target; }
    [[nodiscard]] const http::header<false>& head() const { return m_reader->head(); }
    [[nodiscard]] std::optional<std::uint64_t> answer_length() const
    {
        return m_reader->content_length();
    }
    [[nodiscard]] const std::string& response_prefix() const { return m_response_prefix; }
    [[nodiscard]] bool is_fully_buffered() const { return m_state == body_state::end; }
    [[nodiscard]] duration latency() const { return m_latency; }

private:
    bool write_request();
    [[nodiscard]] bool uses_expect_continue() const;
    bool send_body_after_continue(message_writer& writer);
    bool stream_body(message_writer& writer);
    bool read_head();
    void read_response();
    void record_result(routing::attempt_result result);
    void report_event(outcome::entry_event_kind kind, outcome::cause why = outcome::cause::none);
    void report_connection_lost(const reason& why, outcome::cause cause);

    entry_service& m_service;
    attempt_request& m_request;
    std::size_t m_index;
    config::target m_target;
    std::string m_address;
    std::unique_ptr<client_connection> m_connection;
    std::optional<response_reader> m_reader;
    std::string m_response_prefix;
    body_state m_state = body_state::more;
    bool m_abandoned = false;
    bool m_ended = false;
    time_point m_started{};
    duration m_latency{};
};

/// Asks a target's owner for a ticket; nothing where it gives none in time.
[[nodiscard]] std::optional<std::string>
fetch_ticket(entry_service& service, const config::target& target, time_point deadline);

} // namespace pomelohead::forwarding
