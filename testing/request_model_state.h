// The state of the request model: entries, owners, connections and targets.
//
// Implementation of testing/request_model.h.
#pragma once

#include "pomelohead/outcome/entry_machine.h"
#include "pomelohead/outcome/owner_machine.h"
#include "pomelohead/outcome/ticket.h"
#include "testing/request_model.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace pomelohead::testing::detail {

using namespace pomelohead::outcome;
using verdict = pomelohead::outcome::outcome;

inline constexpr std::size_t owner_count = 2;

enum class request_stage { connecting, sent, delivered, closed };
enum class target_stage {
    none,
    in_flight,
    running,
    refused,
    answered,
    truncated,
    crashed,
    consumed
};
enum class answer_stage { none, ended, headers_ready, headers_read, stream_ended };

/// One attempt: the entry's connection to an owner and the state of the request there.
struct exchange {
    std::size_t m_send = 0;
    std::size_t m_attempt = 0;
    std::size_t m_owner = 0;
    std::uint64_t m_incarnation = 0; ///< the owner process that the connection leads to
    request_stage m_request_stage = request_stage::connecting;
    bool m_entry_open = true;
    bool m_owner_open = true;
    bool m_has_record = false;
    bool m_attached = false; ///< waits for the end of another exchange with its ticket
    owner_state m_record;
    target_stage m_target = target_stage::none;
    bool m_target_open = true;
    answer_stage m_answer = answer_stage::none;
    conclusion m_end{};
};

/// One send of the caller and the entry that it went to.
struct send {
    entry_state m_entry;
    bool m_entry_alive = true;
    bool m_caller_connected = true;
    std::optional<conclusion> m_conclusion;
    std::optional<std::size_t>
        m_streamed_attempt; ///< the attempt whose answer the caller is reading
};

struct owner {
    std::uint64_t m_incarnation = 1;
    bool m_draining = false;
    bool m_owns_target = true;
    bool m_serial_seen = false; ///< replaces the ledger where a ticket mechanism is disabled
    std::shared_ptr<const ticket_ledger> m_ledger; ///< shared by states until it changes
    std::string m_ledger_history;
};

/// Replaces the owner's ledger by a copy and applies `change` to it.
template <class Change>
auto change_ledger(owner& o, Change change)
{
    const auto copy = std::make_shared<ticket_ledger>(*o.m_ledger);
    o.m_ledger = copy;
    return change(*copy);
}

/// The ledger of an owner process, by the owner's index and its incarnation.
[[nodiscard]] ticket_ledger make_ledger(std::size_t index, std::uint64_t incarnation);

/// One state of the system; emit_successors() enumerates the states that may follow.
class model {
public:
    explicit model(const model_options& options);

    using emit = std::function<void(std::string, model)>;

    /// Calls `out` with the label and resulting state of each possible event.
    void emit_successors(const emit& out) const;

    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] bool has_reported(verdict value) const;

    [[nodiscard]] std::string key() const;

private:
    [[nodiscard]] bool is_disabled(mechanism value) const { return m_options.m_without == value; }
    [[nodiscard]] std::size_t request_index(std::size_t s) const { return m_ticket ? 0 : s; }
    [[nodiscard]] bool can_inject_fault() const { return m_faults < m_options.m_max_faults; }

    template <class Change>
    void emit_step(const emit& out, std::string label, Change change) const
    {
        model copy = *this;
        change(copy);
        copy.check_invariants();
        copy.discard_unobservable_state();
        out(std::move(label), std::move(copy));
    }

    template <class Change>
    void emit_fault(const emit& out, std::string label, Change change) const
    {
        if (can_inject_fault()) {
            emit_step(out, std::move(label), [&](model& m) {
                ++m.m_faults;
                change(m);
            });
        }
    }

    void report_violation(std::string text);
    void check_invariants();
    void discard_unobservable_state();
    [[nodiscard]] bool is_in_use(std::size_t o) const;

    // the caller and the entries
    void begin_send();
    void choose_owner(std::size_t s);
    void step_entry(std::size_t s, entry_event event);
    void perform_entry_action(std::size_t s, const entry_action& action);
    exchange& find_exchange(std::size_t s, std::size_t attempt);
    void report_conclusion(std::size_t s, conclusion end);
    void start_answer_stream(std::size_t s, std::size_t attempt);
    void finish_answer(std::size_t s, std::size_t attempt);
    void emit_global_events(const emit& out) const;
    void emit_send_events(std::size_t s, const emit& out) const;
    void emit_process_events(std::size_t o, const emit& out) const;
    void emit_entry_events(std::size_t i, const emit& out) const;
    void emit_abandoned_events(std::size_t i, const emit& out) const;
    void write(std::size_t i);
    void receive_answer(std::size_t i, int times);

    // the owners
    [[nodiscard]] bool is_owner_alive(const exchange& x) const;
    [[nodiscard]] static std::string label(const exchange& x);
    [[nodiscard]] handover_conditions facts(const exchange& x) const;
    void deliver_request(std::size_t i);
    void apply_ticket_decision(std::size_t i);
    ticket_decision present_ticket(const exchange& x);
    void record_conclusion(const exchange& x, conclusion end);
    void step_owner(std::size_t i, owner_event event);
    void perform_owner_action(std::size_t i, const owner_action& action);
    void emit_owner_events(std::size_t i, const emit& out) const;
    void emit_admission_and_handover_events(std::size_t i, const emit& out) const;

    // the targets
    void emit_target_events(std::size_t i, const emit& out) const;
    void receive_target_result(std::size_t i);

    model_options m_options;
    std::optional<ticket> m_ticket;
    std::vector<int> m_runs;
    std::array<owner, owner_count> m_owners;
    std::vector<send> m_sends;
    std::vector<exchange> m_exchanges;
    bool m_has_deadline_passed = false;
    std::size_t m_faults = 0;
    std::string m_violation;
};

} // namespace pomelohead::testing::detail
