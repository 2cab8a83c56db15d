// The state of the request model: what the shells, the wires and the targets hold.
//
// Part of testing/request_model.h, which says what the model is for.
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

enum class wire { connecting, request, delivered, closed };
enum class target_stage { none, in_flight, running, refused, whole, broken, crashed, heard };
enum class answer_stage { none, ended, head, head_taken, stream_ended };

/// One attempt: the entry's connection to an owner and what became of it there.
struct exchange {
    std::size_t m_send = 0;
    std::size_t m_attempt = 0;
    std::size_t m_owner = 0;
    std::uint64_t m_incarnation = 0; ///< the owner process that the connection leads to
    wire m_wire = wire::connecting;
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
    bool m_caller_waits = true;
    std::optional<conclusion> m_told;
    std::optional<std::size_t> m_begun; ///< the attempt whose answer the caller is reading
};

struct owner {
    std::uint64_t m_incarnation = 1;
    bool m_draining = false;
    bool m_owns_target = true;
    bool m_seen = false; ///< in place of the ledger, where a run leaves a part of it out
    std::shared_ptr<const ticket_ledger> m_ledger; ///< shared by states until it changes
    std::string m_ledger_history;
};

/// Lets `change` work on a copy of the owner's ledger.
template <class Change>
auto change_ledger(owner& o, Change change)
{
    const auto copy = std::make_shared<ticket_ledger>(*o.m_ledger);
    o.m_ledger = copy;
    return change(*copy);
}

/// The ledger of an owner process, by the owner's index and its incarnation.
[[nodiscard]] ticket_ledger make_ledger(std::size_t index, std::uint64_t incarnation);

/// One state of the whole; next() lists those that may follow.
class model {
public:
    explicit model(const model_options& options);

    using emit = std::function<void(std::string, model)>;

    /// All that may happen next.
    void next(const emit& out) const;

    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] bool has_told(verdict value) const;

    [[nodiscard]] std::string key() const;

private:
    [[nodiscard]] bool lacks(mechanism value) const { return m_options.m_without == value; }
    [[nodiscard]] std::size_t request_of(std::size_t s) const { return m_ticket ? 0 : s; }
    [[nodiscard]] bool may_fail() const { return m_faults < m_options.m_max_faults; }

    template <class Change>
    void emit_step(const emit& out, std::string label, Change change) const
    {
        model copy = *this;
        change(copy);
        copy.check();
        copy.forget();
        out(std::move(label), std::move(copy));
    }

    template <class Change>
    void emit_fault(const emit& out, std::string label, Change change) const
    {
        if (may_fail()) {
            emit_step(out, std::move(label), [&](model& m) {
                ++m.m_faults;
                change(m);
            });
        }
    }

    void fail(std::string text);
    void check();
    void forget();
    [[nodiscard]] bool is_in_use(std::size_t o) const;

    // the caller and the entries
    void begin_send();
    void choose_owner(std::size_t s);
    void feed_entry(std::size_t s, entry_event event);
    void act_entry(std::size_t s, const entry_action& action);
    exchange& find(std::size_t s, std::size_t attempt);
    void tell(std::size_t s, conclusion end);
    void forward(std::size_t s, std::size_t attempt);
    void end_answer(std::size_t s, std::size_t attempt);
    void next_global(const emit& out) const;
    void next_send(std::size_t s, const emit& out) const;
    void next_process(std::size_t o, const emit& out) const;
    void next_entry_side(std::size_t i, const emit& out) const;
    void next_abandoned(std::size_t i, const emit& out) const;
    void write(std::size_t i);
    void take_answer(std::size_t i, int times);

    // the owners
    [[nodiscard]] bool is_owner_alive(const exchange& x) const;
    [[nodiscard]] static std::string label(const exchange& x);
    [[nodiscard]] handover_facts facts(const exchange& x) const;
    void arrive(std::size_t i);
    void judge_ticket(std::size_t i);
    ticket_decision present(const exchange& x);
    void record(const exchange& x, conclusion end);
    void feed_owner(std::size_t i, owner_event event);
    void act_owner(std::size_t i, const owner_action& action);
    void next_owner_side(std::size_t i, const emit& out) const;
    void next_owner_events(std::size_t i, const emit& out) const;

    // the targets
    void next_target_side(std::size_t i, const emit& out) const;
    void hear(std::size_t i);

    model_options m_options;
    std::optional<ticket> m_ticket;
    std::vector<int> m_runs;
    std::array<owner, owner_count> m_owners;
    std::vector<send> m_sends;
    std::vector<exchange> m_exchanges;
    bool m_time_over = false;
    std::size_t m_faults = 0;
    std::string m_violation;
};

} // namespace pomelohead::testing::detail
