// One node's distribution, without its I/O.
//
// The core ties together the versions (replicator), the source (source_reader) and
// the other nodes (gossip). It runs on a timer_service and hooks, so that tests
// drive whole fleets of cores on one manual clock. It is not reentrant: its owner
// calls it, and it calls the hooks, in one thread.
//
// A start: ask some seeds, then some of the members that they know; put nothing in
// force until they answered or the time for it is over; ask members for members
// until nobody new turns up; only then see whether this node is one of its failure
// domain's watchers. When a whole fleet starts at once, a node with half a view would
// take itself for a watcher, and the source would be read by half of the fleet.
//
// A freeze of the process shows as a tick that comes far too late. All that was
// believed before is then old until a ping sent after it is answered.
#pragma once

#include "pomelohead/distribution/gossip.h"
#include "pomelohead/distribution/replicator.h"
#include "pomelohead/source/source_reader.h"

namespace pomelohead::distribution {

/// Who a node is.
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
    std::vector<std::string> m_seeds; ///< IPs of some other nodes
    source::reader_options m_reader{};
    replicator_options m_replicator{};
    gossip_options m_gossip{};
    std::uint64_t m_epoch = 1;        ///< of this start, e.g. milliseconds since 1970
    std::size_t m_watchers = 2;       ///< nodes of a failure domain that watch the source
    bool m_gossip_enabled = true;     ///< false: every node watches the source, alone
    milliseconds m_tick{200};         ///< between looks at what is due
    milliseconds m_join_limit{1'500}; ///< for the answers of the nodes first asked
    milliseconds m_settle{1'000}; ///< from a settled view of the fleet until this node may watch
    milliseconds m_settle_round{300};   ///< between questions for members until the view settles
    milliseconds m_settle_quiet{1'000}; ///< without anybody new, the view has settled
    milliseconds m_settle_limit{5'000}; ///< after the join the view counts as settled
    milliseconds m_silence{10'000};     ///< without word from any peer: read the source
    milliseconds m_stale{60'000};       ///< without word of the source: read it
    milliseconds m_own_read_period{30'000}; ///< between such reads, up to three times that
    milliseconds m_freeze{3'000};           ///< a tick so late shows a freeze
    milliseconds m_confirm_limit{5'000};    ///< after a freeze with nobody answering: go on alone
};

/// What a core asks of its owner.
struct core_hooks {
    std::function<void(const source::read_request&, std::function<void(source::read_answer)>)>
        m_read;
    std::function<void(const std::string& address, const message&)> m_send;
    std::function<void(config::snapshot_ptr)> m_applied;
    std::function<void(duration)> m_thaw; ///< the process was frozen for so long
    log_hook m_log;
};

/// A node's distribution.
class core {
public:
    core(core_options options, timer_service& timers, core_hooks hooks, std::uint64_t seed);
    core(const core&) = delete;
    core& operator=(const core&) = delete;

    void start();
    void stop();

    /// A message came from `from`. The first one on each connection is a hello.
    void receive(const std::string& from, const message& item);

    /// No connection to `address` could be made, or it was lost.
    void connection_failed(const std::string& address);

    void announce_leaving();

    /// The hello to send first on each connection.
    [[nodiscard]] hello greeting() const { return m_gossip.greeting(); }

    /// All known nodes, this one included; with the host list's word on who is leaving.
    [[nodiscard]] std::vector<membership::member> members() const;

    [[nodiscard]] const replicator& versions() const { return m_versions; }
    [[nodiscard]] const source::source_reader& reader() const { return m_reader; }
    [[nodiscard]] const gossip& peers() const { return m_gossip; }

    /// When the source was last known to have the version in force as its newest.
    [[nodiscard]] std::optional<time_point> source_confirmed() const { return m_source_confirmed; }
    [[nodiscard]] std::optional<duration> last_freeze() const { return m_last_freeze; }
    [[nodiscard]] bool is_joined() const { return m_joined; }

private:
    struct hosts_list {
        std::uint64_t m_index = 0;
        std::string m_bytes;
        std::set<std::string> m_addresses;
        std::set<std::string> m_leaving;
    };

    [[nodiscard]] time_point now() const { return m_timers.now(); }
    [[nodiscard]] summary own_summary() const;
    void tick();
    void check_freeze();
    void decide_role();
    void read_source_if_silent();
    void finish_join();
    void settle();
    void note_settling(bool answered);
    void answered_join(const std::string& address);
    void on_in_force(const config::snapshot_ptr& config);
    void on_source_confirmed();
    void on_hosts(std::uint64_t index, const std::string& bytes);
    void refresh_hints();
    void note_source_age(const summary& state);
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
    hosts_list m_hosts;
    timer_subscription m_tick;
    bool m_running = false;
    time_point m_last_tick{};

    std::set<std::string> m_awaited; // nodes asked at the start that have not answered
    bool m_asked_members = false;
    bool m_joined = false;
    time_point m_join_deadline{};
    // The view of the fleet settles by rounds of questions to random members, until
    // some answers bring nobody new for a while. Silence alone shows nothing: the
    // others may be starting too.
    struct settling {
        time_point m_next_round;
        time_point m_deadline;
        time_point m_changed; // when somebody new turned up last
        std::size_t m_known = 0;
        unsigned m_answers = 0; // since then
    };
    std::optional<settling> m_settling;
    std::optional<time_point> m_watch_from; // none until the view has settled

    std::optional<time_point> m_source_confirmed;
    version_id m_claimed; // the newest version that a peer has, and when the source confirmed it
    std::optional<time_point> m_claimed_confirmed;
    time_point m_last_peer_word{};
    time_point m_next_own_read{};
    time_point m_next_hosts_pull{};

    std::optional<duration> m_last_freeze;
    time_point m_confirm_deadline{};
};

} // namespace pomelohead::distribution
