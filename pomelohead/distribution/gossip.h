// The membership protocol between nodes.
//
// Gossip owns the member table and keeps it current:
//   - it pings the node's successors on the rings;
//   - it piggybacks member updates on pings, acks and notices;
//   - it runs a periodic anti-entropy exchange with one random member;
//   - it forwards news of a leaving node at once;
//   - it periodically contacts a random absent node: an address from the seeds, the
//     configuration or the host list that is unknown or dead, or another dead member.
//     This is what heals network partitions.
//
// The cost per node and second is constant: the messages of one ping period, each with
// at most max_piggyback updates.
#pragma once

#include "pomelohead/distribution/log_hook.h"
#include "pomelohead/distribution/messages.h"
#include "pomelohead/membership/member_table.h"
#include "pomelohead/membership/overlay.h"
#include "pomelohead/membership/prober.h"

#include <set>

namespace pomelohead::distribution {

/// Periods and limits of gossip.
struct gossip_options {
    membership::member_table_options m_table{};
    membership::prober_options m_prober{};
    milliseconds m_exchange_period{10'000};      ///< between exchanges with a random member
    milliseconds m_absent_contact_period{3'000}; ///< between contacts of an unknown or dead node
    std::size_t m_push_random_members = 1; ///< random members that receive a push, as neighbours do
    std::size_t m_indirect_probers = 3;    ///< members asked to ping for this one

    bool operator==(const gossip_options&) const = default;
};

/// Callbacks into the owner of gossip.
struct gossip_hooks {
    std::function<void(const std::string& address, const message&)> m_send;
    std::function<summary()>
        m_summary; ///< the owner's state; gossip sets incarnation and leaving itself
    log_hook m_log;
};

/// The membership protocol of one node.
class gossip {
public:
    gossip(gossip_options options, membership::member self, gossip_hooks hooks, std::uint64_t seed);

    /// Sets the addresses where other nodes may run: seeds, configuration, host list.
    void set_candidate_addresses(std::set<std::string> addresses);

    void start(time_point now);
    void tick(time_point now);

    /// Records the sender's own state. Returns false if the caller must ignore the state:
    /// the sender is unknown, or a later process is known under its address.
    bool on_summary(const std::string& from, const summary& state, time_point now);
    void on_updates(const std::vector<membership::member>& updates, time_point now);
    void on_ping(const std::string& from, const ping& item);
    /// Returns whether the ack answers a pending ping of this node's own.
    bool on_ack(const ack& item);
    void on_ping_request(const std::string& from, const ping_request& item);
    void on_indirect_ack(const indirect_ack& item);
    void on_join_request(const std::string& from);
    void on_connection_failed(const std::string& address, time_point now);

    /// Sends this node's state to its neighbours and some random members at once.
    void push_state();

    /// Sends this node's state to one node.
    void send_notice(const std::string& address, bool reply_requested);

    /// Requests the member list of one node; sends at most one such request a second.
    void request_members(const std::string& address, time_point now);

    /// After a freeze: marks the view as unconfirmed, drops all pending pings, restarts the
    /// timeouts of all suspicions, and pings the neighbours.
    void require_confirmation(time_point now);

    /// Marks this node as leaving and announces it.
    void leave();

    [[nodiscard]] hello make_hello() const { return {.m_self = m_table.self()}; }
    [[nodiscard]] const membership::member_table& table() const { return m_table; }
    [[nodiscard]] membership::member_table& table() { return m_table; }
    [[nodiscard]] const membership::neighbours& neighbours() const { return m_neighbours; }
    [[nodiscard]] bool is_superseded() const { return m_is_superseded; }
    [[nodiscard]] bool is_unconfirmed() const { return m_is_unconfirmed; }

    /// The first sequence number of pings sent since require_confirmation(); only their acks
    /// confirm the view.
    [[nodiscard]] std::uint64_t first_confirming_sequence() const
    {
        return m_first_confirming_sequence;
    }
    void confirm() { m_is_unconfirmed = false; }

private:
    struct relayed_ping {
        std::string m_requester;
        std::string m_target;
        std::uint64_t m_sequence = 0;
    };

    [[nodiscard]] summary own_summary() const;
    [[nodiscard]] std::vector<membership::member> updates_for(const std::string& address);
    void merge(const membership::member& update, time_point now);
    void refresh_neighbours();
    void ping_via_others(const std::string& address, std::uint64_t sequence);
    void contact_absent_node(time_point now);
    void forward_leaves();

    gossip_options m_options;
    gossip_hooks m_hooks;
    std::mt19937_64 m_random;
    membership::member_table m_table;
    membership::prober m_prober;
    membership::neighbours m_neighbours;
    std::uint64_t m_neighbours_revision = 0;
    std::set<std::string> m_candidate_addresses;
    std::map<std::uint64_t, relayed_ping>
        m_relayed_pings;                              // pings on behalf of others, by own sequence
    std::vector<membership::member> m_pending_leaves; // leaving members to forward at once
    time_point m_next_exchange{};
    time_point m_next_absent_contact{};
    time_point m_next_join_request{};
    bool m_is_unconfirmed = false;
    bool m_is_superseded = false;
    std::uint64_t m_first_confirming_sequence = 0;
};

} // namespace pomelohead::distribution
