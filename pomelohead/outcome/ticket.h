// Tickets: at-most-once execution for requests that a caller resends.
//
// No state of the system outlives a node process, so only the process that would have
// run a request can know whether it did. A ticket names that process by the owner's
// address and incarnation, and adds a serial number and a random check value.
// The caller first obtains a ticket, then sends its request with it any number of
// times through any entry. Every entry forwards it to that owner only, regardless of
// the entry's configuration. The owner's ledger changes a serial from unused to started
// once; any other incarnation answers "unknown".
//
//     ticket_ledger ledger({}, "127.0.1.1", incarnation, random_number);
//     std::optional<ticket> issued = ledger.issue("rota-1", now, why);
//     std::string text = to_text(*issued);          // the caller's Pomelohead-Ticket
//     ticket_decision first = ledger.present(*issued, digest, now);   // run
//     ticket_decision again = ledger.present(*issued, digest, now);   // attach
//     ledger.finish(issued->m_serial, end, answer, now);
//     ticket_decision later = ledger.present(*issued, digest, now);   // replay
//
// Memory is bounded by two sizes: the number of open records (issued, not expired) and
// one flag for each of the latest serials that records whether it was started. The flag
// outlives the record, so an expired ticket that was never presented is correctly
// refused as "not run"; a ticket older than the flags is "unknown". Safety does not
// depend on clocks: expiry only drops stored answers and ends unused serials.
#pragma once

#include "pomelohead/outcome/outcome.h"
#include "pomelohead/runtime/reason.h"
#include "pomelohead/runtime/timer_service.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohead::outcome {

/// The maximum length of a ticket text.
inline constexpr std::size_t max_ticket_bytes = 512;

/// The fields of a ticket.
struct ticket {
    std::string m_address;           ///< the owner's IP address
    std::uint64_t m_incarnation = 0; ///< of the only owner process that may run the request
    std::uint64_t m_serial = 0;      ///< counts from 1 in each incarnation
    std::uint64_t m_nonce = 0;       ///< random, so that tickets cannot be guessed
    std::string m_target;            ///< the target that runs the request

    bool operator==(const ticket&) const = default;
};

/// The text for the Pomelohead-Ticket header: "1/ADDRESS/INCARNATION/SERIAL/CHECK/TARGET", numbers
/// in lower-case hex, bytes of TARGET other than [A-Za-z0-9._-] as %XX.
[[nodiscard]] std::string to_text(const ticket& value);

/// Parses exactly what to_text() writes. Fails with `too_large` above
/// max_ticket_bytes and with `malformed` on anything else.
[[nodiscard]] std::optional<ticket> parse_ticket(std::string_view text, reason& why);

/// A target's answer that is stored for resends.
struct stored_answer {
    struct header {
        std::string m_name;
        std::string m_value;

        bool operator==(const header&) const = default;
    };
    std::uint16_t m_status = 0;
    std::vector<header> m_headers;
    std::string m_body;

    bool operator==(const stored_answer&) const = default;
};

using stored_answer_ptr = std::shared_ptr<const stored_answer>;

/// How the owner handles a request that carries a ticket.
enum class ticket_verdict {
    run,    ///< first use: process as any request; finish() must follow
    attach, ///< it is in progress: wait until it ends, then call present() again
    replay, ///< return the stored answer, m_answer
    refuse, ///< return m_end without running anything
};

struct ticket_decision {
    ticket_verdict m_verdict = ticket_verdict::refuse;
    conclusion m_end{};         ///< for refuse and replay
    stored_answer_ptr m_answer; ///< for replay

    bool operator==(const ticket_decision&) const = default;
};

struct ticket_options {
    duration m_lifetime = std::chrono::minutes(10); ///< of a ticket, from issue
    duration m_answer_lifetime =
        std::chrono::minutes(10);               ///< of a stored answer, from the end of its request
    std::size_t m_max_open = 20'000;            ///< open records; issue() fails at this number
    std::size_t m_max_answer_bytes = 64 * 1024; ///< of one stored answer
    std::size_t m_max_stored_bytes = 8 * 1024 * 1024; ///< of all stored answers
    std::size_t m_max_started_flags = 1'000'000;      ///< latest serials with a stored started flag

    bool operator==(const ticket_options&) const = default;
};

/// The tickets that one incarnation of one owner has issued, and their outcomes.
class ticket_ledger {
public:
    /// `address` and `incarnation` identify this owner in its tickets; `random`
    /// generates their check values.
    ticket_ledger(ticket_options options, std::string address, std::uint64_t incarnation,
                  std::function<std::uint64_t()> random);

    /// Issues a ticket for one request at `target`. Fails with `rate_limited` when
    /// m_max_open records are open.
    [[nodiscard]] std::optional<ticket> issue(std::string target, time_point now, reason& why);

    /// Decides how to handle a request that carries `value`. `digest` identifies
    /// the request's content; a ticket is valid for one content only. A different
    /// digest is "unknown", not "not run", because the caller asks for the outcome
    /// of the ticket's first request. A ticket that names this incarnation but was
    /// not issued by it is "unknown" too.
    [[nodiscard]] ticket_decision present(const ticket& value, std::string_view digest,
                                          time_point now);

    /// Records the outcome of a request for which present() returned `run`.
    /// `answer` is its whole answer or null; it is stored if it fits within
    /// m_max_answer_bytes and m_max_stored_bytes. Ignored unless the serial is running.
    void finish(std::uint64_t serial, conclusion end, stored_answer_ptr answer, time_point now);

    /// Drops expired records and answers; present() and issue() call this themselves.
    void expire(time_point now);

    [[nodiscard]] std::size_t open_tickets() const { return m_records.size(); }
    [[nodiscard]] std::size_t stored_bytes() const { return m_stored_bytes; }

private:
    enum class phase { unused, running, finished };

    struct record {
        std::uint64_t m_check = 0;
        std::string m_target;
        phase m_phase = phase::unused;
        std::string m_digest;
        conclusion m_end{};
        stored_answer_ptr m_answer;
        time_point m_expires{};
    };

    [[nodiscard]] ticket_decision present_open(record& open, const ticket& value,
                                               std::string_view digest);
    [[nodiscard]] conclusion conclusion_without_record(const ticket& value) const;
    void mark_started(std::uint64_t serial);

    ticket_options m_options;
    std::string m_address;
    std::uint64_t m_incarnation;
    std::function<std::uint64_t()> m_random;
    std::uint64_t m_last_serial = 0;
    std::map<std::uint64_t, record> m_records;
    std::deque<bool> m_started; ///< of the serials up to m_last_serial, oldest first
    std::size_t m_stored_bytes = 0;
    time_point m_next_expiry{};
};

} // namespace pomelohead::outcome
