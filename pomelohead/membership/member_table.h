// What a node believes of all nodes, merged from what it hears.
//
// Beliefs about one address are ordered by incarnation, and within one by state
// (alive, suspect, leaving, dead): a later one in this order replaces an earlier
// one, so that the order in which messages arrive does not matter. A node refutes
// a false suspicion of itself by raising its own incarnation.
//
//     member_table table(self, options);
//     if (table.merge(update, now) == merge_result::changed) { ... }
//     message.m_updates = table.take_updates(max_piggyback);
#pragma once

#include "pomelohead/membership/member.h"
#include "pomelohead/runtime/timer_service.h"

#include <map>
#include <random>
#include <vector>

namespace pomelohead::membership {

/// Limits of a member_table.
struct table_options {
    milliseconds m_suspicion_timeout{4'000}; ///< a suspect that does not refute is dead after this
    milliseconds m_dead_retention{600'000};  ///< the dead are forgotten after this

    bool operator==(const table_options&) const = default;
};

/// What an update did.
enum class merge_result {
    ignored,    ///< nothing new
    changed,    ///< the belief about the member changed
    refuted,    ///< it was about this node and false; the own incarnation was raised
    superseded, ///< another process lives under this node's address
};

/// The members that one node knows, itself included.
class member_table {
public:
    member_table(member self, table_options options);

    [[nodiscard]] const member& self() const { return m_self; }

    /// Takes in what another node believes. While `unconfirmed`, a live process with
    /// a later epoch under the own address supersedes this one; otherwise this node
    /// takes a later epoch than that.
    merge_result merge(const member& update, time_point now, bool unconfirmed = false);

    /// A message came from `address` itself. Returns false if a later process is
    /// known there or the address is unknown.
    bool heard_from(const std::string& address, incarnation at, bool leaving,
                    config::version_number version, time_point now);

    /// `address` did not answer: a live member becomes suspect, a leaving one dead.
    void suspect(const std::string& address, time_point now);

    /// Turns overdue suspects into dead, and forgets those dead for long.
    void expire(time_point now);

    /// Gives all suspects their full time again, as after a freeze of this process.
    void restart_suspicions(time_point now);

    /// Marks this node as leaving.
    void leave();

    /// Records the version that this node has in force.
    void set_own_version(config::version_number version) { m_self.m_version = version; }

    /// Updates to send along, at most `limit`; those sent least often come first, and
    /// each is sent a number of times that grows with the logarithm of the table.
    [[nodiscard]] std::vector<member> take_updates(std::size_t limit);

    /// Null if unknown; never this node.
    [[nodiscard]] const member* find(const std::string& address) const;

    /// All members, this node included, sorted by address.
    [[nodiscard]] std::vector<member> all() const;

    /// The other members that are alive, suspect or leaving.
    [[nodiscard]] std::vector<const member*> present() const;

    /// Up to `count` random ones of the other members that are alive.
    [[nodiscard]] std::vector<std::string> sample(std::size_t count, std::mt19937_64& random) const;

    /// Grows with each change that present() shows.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    struct entry {
        member m_member;
        time_point m_state_since; ///< in this state
    };

    merge_result merge_own_update(const member& update, bool unconfirmed);
    void queue_update(const std::string& address);

    table_options m_options;
    member m_self;
    std::map<std::string, entry> m_entries;       // by address, without self
    std::map<std::string, unsigned> m_times_sent; // times sent, by address
    std::uint64_t m_revision = 1;
};

} // namespace pomelohead::membership
