// A node's list of all members, merged from the updates that it receives.
//
// Updates about one address are ordered by incarnation, and within an incarnation by state
// (alive, suspect, leaving, dead). A later update in this order replaces an earlier one, so that
// the result does not depend on the order in which messages arrive. A node refutes a false
// suspicion of itself by raising its own incarnation.
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
struct member_table_options {
    milliseconds m_suspicion_timeout{
        4'000}; ///< a suspect that has not refuted is declared dead after this
    milliseconds m_dead_retention{600'000}; ///< dead members are removed after this

    bool operator==(const member_table_options&) const = default;
};

/// Effect of an update on the table.
enum class merge_result {
    ignored,    ///< not later than the known state
    changed,    ///< the member was added or its state changed
    refuted,    ///< a false update about this node; its incarnation was raised
    superseded, ///< a later process runs at this node's address
};

/// The members known to one node, itself included.
class member_table {
public:
    member_table(member self, member_table_options options);

    [[nodiscard]] const member& self() const { return m_self; }

    /// Merges an update from another node. If `unconfirmed`, a live process with a later epoch at
    /// this node's address supersedes this process; otherwise this node changes to an epoch
    /// later than that.
    merge_result merge(const member& update, time_point now, bool unconfirmed = false);

    /// Records a message received from `address` itself. Returns false if a later process is
    /// known there or the address is unknown.
    bool record_direct_message(const std::string& address, incarnation at, bool leaving,
                               config::version_number version, time_point now);

    /// Records that `address` did not respond: an alive member becomes suspect, a leaving one dead.
    void suspect(const std::string& address, time_point now);

    /// Declares suspects dead after the suspicion timeout, and removes members that have been
    /// dead for the retention time.
    void expire(time_point now);

    /// Restarts the suspicion timeout of all suspects, for example after this process was frozen.
    void restart_suspicions(time_point now);

    /// Marks this node as leaving.
    void leave();

    /// Sets the configuration version that this node has in force.
    void set_own_version(config::version_number version) { m_self.m_version = version; }

    /// Returns at most `limit` updates to piggyback on a message, those sent least often first.
    /// The number of times that each update is sent grows with the logarithm of the table's size.
    [[nodiscard]] std::vector<member> take_updates(std::size_t limit);

    /// Returns the member at `address`, or null if it is unknown or this node.
    [[nodiscard]] const member* find(const std::string& address) const;

    /// Returns all members, this node included, sorted by address.
    [[nodiscard]] std::vector<member> all() const;

    /// Returns the other members that are alive, suspect or leaving.
    [[nodiscard]] std::vector<const member*> non_dead_members() const;

    /// Returns the addresses of up to `count` random other members that are alive.
    [[nodiscard]] std::vector<std::string> sample(std::size_t count, std::mt19937_64& random) const;

    /// Returns a number that increases with each change of the members or of this node's state.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    struct entry {
        member m_member;
        time_point m_state_since; ///< time of the change to the current state
    };

    merge_result merge_own_update(const member& update, bool unconfirmed);
    void queue_update(const std::string& address);

    member_table_options m_options;
    member m_self;
    std::map<std::string, entry> m_entries;       // by address, without self
    std::map<std::string, unsigned> m_times_sent; // pending updates, by address
    std::uint64_t m_revision = 1;
};

} // namespace pomelohead::membership
