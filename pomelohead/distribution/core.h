// The distribution logic of one node, without I/O.
//
// The core connects version replication (replicator), reads of the source
// (source_reader) and membership (gossip). It runs on a timer_service and hooks, so
// that tests can run whole fleets of cores on one manual clock. It is not reentrant:
// the owner's calls and the hooks must all run in one thread.
//
// Startup: the node sends join requests to some seeds, then notices to some of the
// members that they list. It puts no version in force until these have replied or the
// join timeout has passed. It then requests member lists until they bring no new
// members, and only after that checks whether it is one of the watchers of its failure
// domain. Without this wait, nodes with a partial view of a fleet that starts all at
// once would each elect themselves, and half of the fleet would read the source.
//
// A freeze of the process is detected by a tick that runs far too late. The membership
// view from before the freeze is then unconfirmed until a ping sent after it is acked.
#pragma once

#include "pomelohead/distribution/gossip.h"
#include "pomelohead/distribution/replicator.h"
#include "pomelohead/source/source_reader.h"

namespace pomelohead::distribution {

/// Name and location of a node.
struct node_identity {
    std::string m_node;
    std::string m_address; ///< IP
    std::string m_region;
    std::string m_failure_domain;

    bool operator==(const node_identity&) const = default;
};

/// Tunables of a core.
struct core_options {
    node_identity m_self;
    std::vector<std::string> m_seeds; ///< IPs of nodes to contact first
    source::reader_options m_reader{};
    replicator_options m_replicator{};
    gossip_options m_gossip{};
    std::uint64_t m_epoch = 1;    ///< identifies this start, e.g. milliseconds since 1970
    std::size_t m_watchers = 2;   ///< nodes per failure domain that watch the source
    bool m_gossip_enabled = true; ///< false: no peers; every node watches the source
    milliseconds m_tick_period{200};
    milliseconds m_join_timeout{1'500}; ///< for replies of the nodes contacted first
    milliseconds m_max_watch_delay{
        1'000}; ///< maximum of the random delay from convergence until this node may watch
    milliseconds m_convergence_round{300}; ///< between member list requests
    milliseconds m_convergence_quiet_period{
        1'000}; ///< without a new member, before the view counts as converged
    milliseconds m_convergence_timeout{
        5'000}; ///< from the join until the view counts as converged in any case
    milliseconds m_peer_silence_limit{10'000}; ///< without a message from any peer: read the source
    milliseconds m_confirmation_max_age{
        60'000}; ///< since the source was known to have the version in force: read it
    milliseconds m_direct_read_period{
        30'000}; ///< minimum between such reads; the maximum is three times that
    milliseconds m_freeze_threshold{3'000}; ///< gap between two ticks that counts as a freeze
    milliseconds m_confirm_timeout{5'000};  ///< after a freeze, resume even without an ack
};

/// Callbacks into the owner of a core.
struct core_hooks {
    std::function<void(const source::read_request&, std::function<void(source::read_result)>)>
        m_read;
    std::function<void(const std::string& address, const message&)> m_send;
    std::function<void(config::snapshot_ptr)> m_applied;
    std::function<void(duration)> m_resumed; ///< after a freeze, with its length
    log_hook m_log;
};

/// Distributes configuration and membership on one node.
class core {
public:
    core(core_options options, timer_service& timers, core_hooks hooks, std::uint64_t seed);
    core(const core&) = delete;
    core& operator=(const core&) = delete;

    void start();
    void stop();

    /// Handles a message from `from`. The first one on each connection is a hello.
    void receive(const std::string& from, const message& item);

    /// Reports that the connection to `address` failed or was lost.
    void connection_failed(const std::string& address);

    /// Tells the peers that this node is leaving, and stops watching the source.
    void announce_leaving();

    /// The first message to send on each connection.
    [[nodiscard]] hello make_hello() const { return m_gossip.make_hello(); }

    /// All known nodes, this one included. Those that the host list marks as leaving are
    /// returned as leaving unless they are dead.
    [[nodiscard]] std::vector<membership::member> members() const;

    [[nodiscard]] const replicator& versions() const { return m_versions; }
    [[nodiscard]] const source::source_reader& reader() const { return m_reader; }
    [[nodiscard]] const gossip& peers() const { return m_gossip; }

    /// The last time at which the version in force was known to be the source's newest.
    [[nodiscard]] std::optional<time_point> source_confirmed_at() const
    {
        return m_source_confirmed_at;
    }
    [[nodiscard]] std::optional<duration> last_freeze() const { return m_last_freeze; }
    [[nodiscard]] bool is_joined() const { return m_is_joined; }

private:
    struct host_list {
        std::uint64_t m_index = 0;
        std::string m_bytes;
        std::set<std::string> m_addresses;
        std::set<std::string> m_leaving;
    };

    [[nodiscard]] time_point now() const { return m_timers.now(); }
    [[nodiscard]] summary own_summary() const;
    void tick();
    void check_freeze();
    void update_watcher_role();
    void read_source_if_stale();
    void finish_join();
    void advance_view_convergence();
    void record_view_size(bool is_reply);
    void complete_join_request(const std::string& address);
    void on_in_force(const config::snapshot_ptr& config);
    void on_source_confirmed();
    void on_hosts(std::uint64_t index, const std::string& bytes);
    void refresh_candidate_addresses();
    void record_source_age(const summary& state);
    void on_summary(const std::string& from, const summary& state, bool reply_if_behind);
    [[nodiscard]] duration random_up_to(milliseconds limit);

    void handle(const std::string& from, const hello& item);
    void handle(const std::string& from, const ping& item);
    void handle(const std::string& from, const ack& item);
    void handle(const std::string& from, const ping_request& item);
    void handle(const std::string& from, const indirect_ack& item);
    void handle(const std::string& from, const notice& item);
    void handle(const std::string& from, const join_request& item);
    void handle(const std::string& from, const member_list& item);
    void handle(const std::string& from, const pull& item);
    void handle(const std::string& from, const manifest_value& item);
    void handle(const std::string& from, const section_values& item);
    void handle(const std::string& from, const hosts_value& item);

    core_options m_options;
    timer_service& m_timers;
    core_hooks m_hooks;
    std::mt19937_64 m_random;
    replicator m_versions;
    source::source_reader m_reader;
    gossip m_gossip;
    host_list m_hosts;
    timer_subscription m_tick_timer;
    bool m_is_running = false;
    time_point m_last_tick{};

    std::set<std::string>
        m_pending_join_replies; // nodes contacted at the start that have not replied
    bool m_has_contacted_members = false;
    bool m_is_joined = false;
    time_point m_join_deadline{};
    // The membership view converges by requests to random members, repeated until several
    // replies in a row bring no new member for a while. The absence of replies is no sign
    // of convergence: the other nodes may be starting too.
    struct view_convergence {
        time_point m_next_round;
        time_point m_deadline;
        time_point m_last_change; // when the number of members changed last
        std::size_t m_member_count = 0;
        unsigned m_replies_without_change = 0; // since m_last_change
    };
    std::optional<view_convergence> m_view_convergence;
    std::optional<time_point> m_watch_allowed_at; // none until the view has converged

    std::optional<time_point> m_source_confirmed_at;
    version_id m_newest_peer_version; // newer than in force, as reported by a peer
    std::optional<time_point> m_newest_peer_version_confirmed_at; // by the source
    time_point m_last_peer_contact{};
    time_point m_next_direct_read{};
    time_point m_next_hosts_pull{};

    std::optional<duration> m_last_freeze;
    time_point m_confirm_deadline{};
};

} // namespace pomelohead::distribution
