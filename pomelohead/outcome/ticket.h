// Tickets: how a caller resends a request that may run at most once.
//
// Nothing of the system outlives a node, so what "has run already" means can be
// known only by the one process that would have run it. A ticket names that
// process: the owner's address, its incarnation, a serial and a random check.
// The caller obtains it first, then sends its request with it as often as it
// likes, through any entry. Every entry forwards it to that owner and nowhere
// else, whatever configuration the entry has. The owner's ledger lets a serial
// go from unused to started once; any other incarnation answers "unknown".
//
//     ticket_ledger ledger({}, "127.0.1.1", incarnation, random_number);
//     std::optional<ticket> issued = ledger.issue("rota-1", now, why);
//     std::string text = to_text(*issued);          // the caller's Pomelohead-Ticket
//     ticket_decision first = ledger.present(*issued, digest, now);   // run
//     ticket_decision again = ledger.present(*issued, digest, now);   // attach
//     ledger.finish(issued->m_serial, end, answer, now);
//     ticket_decision later = ledger.present(*issued, digest, now);   // replay
//
// Two sizes bound the memory: open records (issued, not expired), and one flag
// for each of the latest serials, which says whether an expired one had started.
// An expired, never presented ticket is thus refused as "not run", truly; one
// that is older than the flags is "unknown". No clock takes part in safety:
// expiry only forgets answers and ends unused serials.
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

/// The longest text that is read as a ticket.
inline constexpr std::size_t max_ticket_bytes = 512;

/// What a ticket says.
struct ticket {
    std::string m_address;           ///< the owner's IP address
    std::uint64_t m_incarnation = 0; ///< of the only process that may run it
    std::uint64_t m_serial = 0;      ///< from 1 in each incarnation
    std::uint64_t m_check = 0;       ///< random, so that no ticket can be guessed
    std::string m_target;            ///< the target that will run it

    bool operator==(const ticket&) const = default;
};

/// The text for a header: "1/ADDRESS/INCARNATION/SERIAL/CHECK/TARGET", numbers
/// in lower-case hex, bytes of TARGET other than [A-Za-z0-9._-] as %XX.
[[nodiscard]] std::string to_text(const ticket& value);

/// Reads exactly what to_text() writes; anything else is malformed.
[[nodiscard]] std::optional<ticket> parse_ticket(std::string_view text, reason& why);

/// An answer kept for resends.
struct kept_answer {
    struct header {
        std::string m_name;
        std::string m_value;

        bool operator==(const header&) const = default;
    };
    std::uint16_t m_status = 0;
    std::vector<header> m_headers;
    std::string m_body;

    bool operator==(const kept_answer&) const = default;
};

using kept_answer_ptr = std::shared_ptr<const kept_answer>;

/// What the owner does with a request that carries a ticket.
enum class ticket_verdict {
    run,    ///< first use: go on as with any request; finish() must follow
    attach, ///< it is in progress: wait for its end, then present() again
    replay, ///< answer with m_answer, the whole answer
    refuse, ///< answer m_end without running anything
};

struct ticket_decision {
    ticket_verdict m_verdict = ticket_verdict::refuse;
    conclusion m_end{};       ///< for refuse and replay
    kept_answer_ptr m_answer; ///< for replay

    bool operator==(const ticket_decision&) const = default;
};

struct ticket_options {
    duration m_lifetime = std::chrono::minutes(10);        ///< from issue
    duration m_answer_lifetime = std::chrono::minutes(10); ///< from the end of a request
    std::size_t m_max_open = 20'000;                       ///< records; above it none is issued
    std::size_t m_max_answer_bytes = 64 * 1024;            ///< of one kept answer
    std::size_t m_max_kept_bytes = 8 * 1024 * 1024;        ///< of all kept answers
    std::size_t m_history = 1'000'000;                     ///< serials whose start is remembered

    bool operator==(const ticket_options&) const = default;
};

/// The serials of one incarnation of one owner.
class ticket_ledger {
public:
    /// `address` and `incarnation` go into the tickets; `random` gives their checks.
    ticket_ledger(ticket_options options, std::string address, std::uint64_t incarnation,
                  std::function<std::uint64_t()> random);

    /// A new ticket for one request at `target`. Fails with `rate_limited` when
    /// too many are open.
    [[nodiscard]] std::optional<ticket> issue(std::string target, time_point now, reason& why);

    /// Decides on a request that carries `value`. `digest` stands for its
    /// content: a ticket serves one content only. Another digest is "unknown",
    /// not "not run", since the caller asks after the ticket's request. So is a
    /// ticket of this incarnation that was not issued here.
    [[nodiscard]] ticket_decision present(const ticket& value, std::string_view digest,
                                          time_point now);

    /// Records how the request that `run` was said for has ended. `answer` is
    /// its whole answer or null, and is kept if it is small enough.
    void finish(std::uint64_t serial, conclusion end, kept_answer_ptr answer, time_point now);

    /// Forgets what has expired; present() and issue() do so by themselves.
    void expire(time_point now);

    [[nodiscard]] std::size_t open_tickets() const { return m_records.size(); }
    [[nodiscard]] std::size_t kept_bytes() const { return m_kept_bytes; }

private:
    enum class phase { unused, running, finished };

    struct record {
        std::uint64_t m_check = 0;
        std::string m_target;
        phase m_phase = phase::unused;
        std::string m_digest;
        conclusion m_end{};
        kept_answer_ptr m_answer;
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
    std::size_t m_kept_bytes = 0;
    time_point m_next_expiry{};
};

} // namespace pomelohead::outcome
