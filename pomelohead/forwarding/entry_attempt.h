// One attempt of an entry at one owner, in its own fiber.
//
// An attempt opens or reuses a connection, writes the request, reads the owner's load report and
// the head of its response, and reports events to its entry_exchange. Its connection returns to
// the pool only after a complete response.
#pragma once

#include "pomelohead/forwarding/entry_service.h"
#include "pomelohead/outcome/entry_machine.h"

namespace pomelohead::forwarding {

/// The part of a request that all its attempts share, and the callbacks to its entry_exchange.
struct attempt_request {
    server_exchange& m_exchange; ///< the caller's
    buffered_body& m_body;
    http::header<true> m_head; ///< as sent to owners, without the headers that each attempt adds
    bool m_streamed = false;   ///< the body is streamed from the caller after the buffered part
    time_point m_deadline{};
    time_point m_objective{};   ///< a response after it is late
    std::string m_ticket_owner; ///< the owner's address; empty
    config::work_class m_class = config::work_class::short_work;
    std::function<void(const outcome::entry_event&)> m_on_event;
    std::function<bool()> m_has_caller_left; ///< ends the request if so
    std::function<bool()> m_is_suspect;
    std::function<void(milliseconds)>
        m_on_retry_hint; ///< called with an owner's advised retry delay
};

/// One attempt. Held by shared_ptr until both its fiber and its request have finished with it.
class entry_attempt {
public:
    entry_attempt(entry_service& service, attempt_request& request, std::size_t index,
                  config::target target,
                  admission::queueing queueing = admission::queueing::allowed);

    /// Runs until the first bytes of the response have been read or the attempt has failed.
    void run();

    /// Reports the attempt as lost after an exception has left run().
    void fail();

    /// Closes the connection; run() returns soon afterwards.
    void abandon();

    /// Reads the next piece of the response after response_prefix().
    body_state read_body_piece(std::string& piece, reason& why);

    /// Ends the attempt after its response was forwarded, completely or not.
    void finish(bool fully_forwarded);

    [[nodiscard]] const config::target& target() const { return m_target; }
    /// Whether its target had no free slot and the request was not to wait for one.
    [[nodiscard]] bool was_busy() const { return m_was_busy; }
    [[nodiscard]] const http::header<false>& head() const { return m_reader->head(); }
    [[nodiscard]] std::optional<std::uint64_t> answer_length() const
    {
        return m_reader->content_length();
    }
    [[nodiscard]] const std::string& response_prefix() const { return m_response_prefix; }
    [[nodiscard]] bool is_fully_buffered() const { return m_state == body_state::end; }
    [[nodiscard]] duration latency() const { return m_latency; }
    [[nodiscard]] time_point started() const { return m_started; }
    /// When the first byte was about to be written; nothing if none was.
    [[nodiscard]] std::optional<time_point> written_at() const { return m_written_at; }

private:
    [[nodiscard]] bool is_hedge() const { return m_queueing == admission::queueing::spare_only; }
    bool write_request();
    [[nodiscard]] bool uses_expect_continue() const;
    bool send_body_after_continue();
    bool stream_body();
    bool read_head();
    void read_response();
    void record_result(routing::attempt_result result);
    void report_event(outcome::entry_event_kind kind, outcome::cause why = outcome::cause::none);
    void report_connection_lost(const reason& why, outcome::cause cause);

    entry_service& m_service;
    attempt_request& m_request;
    std::size_t m_index;
    config::target m_target;
    admission::queueing m_queueing;
    std::string m_address;
    std::unique_ptr<client_connection> m_connection;
    std::optional<message_writer> m_writer;
    std::optional<response_reader> m_reader;
    std::string m_response_prefix;
    body_state m_state = body_state::more;
    bool m_was_busy = false;
    bool m_abandoned = false;
    bool m_ended = false;
    time_point m_started{};
    std::optional<time_point> m_written_at;
    duration m_latency{};
};

/// Requests a ticket from a target's owner; returns nothing if none arrives in time.
[[nodiscard]] std::optional<std::string>
fetch_ticket(entry_service& service, const config::target& target, time_point deadline);

} // namespace pomelohead::forwarding
