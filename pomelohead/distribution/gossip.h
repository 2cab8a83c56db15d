// The messages by which nodes learn of each other.
//
// Gossip owns the member table and everything that keeps it current: pings of the
// successors on the rings, updates that ride on pings, acks and notices, a periodic
// exchange with one random member, word of a leaving node that is passed on at
// once, and now and then a try to reach an address where somebody might live: a
// seed, a host of the configuration or of the host list, or a dead member. The
// last one heals cuts.
//
// Per node and second its cost is constant: one ping period's messages, with at
// most max_piggyback updates each.
#pragma once

#include "pomelohead/distribution/log_hook.h"
#include "pomelohead/distribution/messages.h"
#include "pomelohead/membership/member_table.h"
#include "pomelohead/membership/overlay.h"
#include "pomelohead/membership/prober.h"

#include <set>

namespace pomelohead::distribution {

/// Times and limits of gossip.
struct gossip_options {
    membership::table_options m_table{};
    membership::prober_options m_prober{};
    milliseconds m_exchange_period{10'000}; ///< between exchanges with a random member
    milliseconds m_contact_period{3'000};   ///< between tries to reach somebody unknown or dead
    std::size_t m_push_random = 1; ///< random members that a push reaches beside neighbours
    std::size_t m_helpers = 3;     ///< members that ping for this one

    bool operator==(const gossip_options&) const = default;
};

/// What gossip asks of its owner.
struct gossip_hooks {
    std::function<void(const std::string& address, const message&)> m_send;
    std::function<summary()>
        m_summary; ///< the owner's state; incarnation and leaving are filled in
    log_hook m_log;
};

/// One node's gossip.
class gossip {
public:
    gossip(gossip_options options, membership::member self, gossip_hooks hooks, std::uint64_t seed);

    /// Addresses where other nodes may be: seeds, configuration, host list.
    void set_hints(std::set<std::string> addresses);

    void start(time_point now);
    void tick(time_point now);

    /// Takes in the sender's own state. Returns false if it is not to be heeded: it
    /// is unknown, or a later process is known under its address.
    bool on_summary(const std::string& from, const summary& state, time_point now);
    void on_updates(const std::vector<membership::member>& updates, time_point now);
    void on_ping(const std::string& from, const ping& item);
    /// Returns whether the ack was awaited.
    bool on_ack(const ack& item);
    void on_ping_request(const std::string& from, const ping_request& item);
    void on_indirect_ack(const indirect_ack& item);
    void on_join_request(const std::string& from);
    void on_connection_failed(const std::string& address, time_point now);

    /// Tells neighbours and some random members the own state now.
    void push();

    /// Sends a notice to one node.
    void tell(const std::string& address, bool answer_wanted);

    /// Asks one node for all members that it knows; at most one such question a second.
    void ask_for_members(const std::string& address, time_point now);

    /// After a freeze: doubts all pings and suspicions, and pings the neighbours.
    void doubt(time_point now);

    void leave();

    [[nodiscard]] hello greeting() const { return {.m_self = m_table.self()}; }
    [[nodiscard]] const membership::member_table& table() const { return m_table; }
    [[nodiscard]] membership::member_table& table() { return m_table; }
    [[nodiscard]] const membership::neighbours& neighbours() const { return m_neighbours; }
    [[nodiscard]] bool is_superseded() const { return m_superseded; }
    [[nodiscard]] bool is_unconfirmed() const { return m_unconfirmed; }

    /// The first sequence number of pings sent since doubt().
    [[nodiscard]] std::uint64_t doubted_before() const { return m_doubted_before; }
    void confirm() { m_unconfirmed = false; }

private:
    struct errand {
        std::string m_asker;
        std::string m_target;
        std::uint64_t m_sequence = 0;
    };

    [[nodiscard]] summary own_summary() const;
    [[nodiscard]] std::vector<membership::member> updates_for(const std::string& address);
    void merge(const membership::member& update, time_point now);
    void refresh_neighbours();
    void ping_via_others(const std::string& address, std::uint64_t sequence);
    void contact_somebody(time_point now);
    void flush_relays();

    gossip_options m_options;
    gossip_hooks m_hooks;
    std::mt19937_64 m_random;
    membership::member_table m_table;
    membership::prober m_prober;
    membership::neighbours m_neighbours;
    std::uint64_t m_neighbours_revision = 0;
    std::set<std::string> m_hints;
    std::map<std::uint64_t, errand> m_errands; // pings for others, by own sequence
    std::vector<membership::member> m_relays;  // to be passed on at once
    time_point m_next_exchange{};
    time_point m_next_contact{};
    time_point m_next_question{};
    bool m_unconfirmed = false;
    bool m_superseded = false;
    std::uint64_t m_doubted_before = 0;
};

} // namespace pomelohead::distribution
