// Many distribution cores on one manual clock and a simulated network.
//
//     fake_fleet fleet(seed);
//     fleet.add_domain("bala", 5);              // 10.0.0.1 ... 10.0.0.5
//     fleet.publish(1);
//     fleet.run(5s);
//     BOOST_TEST(fleet.all_hold(1));
//
// Whenever a node applies a version, the fleet checks that it is newer than the node's
// previous one and that its whole content equals what was published under it.
#pragma once

#include "pomelohead/distribution/core.h"
#include "testing/fake_source.h"
#include "testing/manual_timer_service.h"

#include <set>

namespace pomelohead::testing {

/// A small valid configuration; `salt` tells apart contents of one version.
[[nodiscard]] config::bundle sample_bundle(config::version_number version,
                                           const std::string& salt = {});

/// A bundle whose route names a service that does not exist.
[[nodiscard]] config::bundle invalid_bundle(config::version_number version);

/// A fleet of cores.
class fake_fleet {
public:
    explicit fake_fleet(std::uint64_t seed);
    ~fake_fleet();
    fake_fleet(const fake_fleet&) = delete;
    fake_fleet& operator=(const fake_fleet&) = delete;

    /// Adds and starts `count` nodes. Returns their addresses.
    std::vector<std::string> add_domain(const std::string& failure_domain, std::size_t count);

    void start(const std::string& address);
    void kill(const std::string& address);

    /// Stops the node's time; what falls due and what arrives waits until thaw().
    void freeze(const std::string& address);
    void thaw(const std::string& address);

    /// Messages between the two groups are lost until heal().
    void cut(const std::vector<std::string>& a, const std::vector<std::string>& b);
    /// Messages from `a` to `b` are lost until heal().
    void cut_one_way(const std::vector<std::string>& a, const std::vector<std::string>& b);
    void heal();
    /// Nodes started from now on know only the next three hosts, in the order of addresses.
    void use_ring_seeds() { m_ring_seeds = true; }
    void set_loss(double share) { m_loss = share; }
    void set_max_delay(duration delay) { m_max_delay = delay; }

    /// Lets these nodes read `source` in place of the fleet's own; null: none at all.
    void set_source(const std::vector<std::string>& addresses, fake_source* source);

    /// Publishes sample_bundle(version) on the fleet's source.
    void publish(config::version_number version, const std::string& salt = {});

    /// Registers a content as published, so that applying it is no invariant violation.
    void know(const config::bundle& bundle);

    void run(duration time) { m_timers.advance(time); }

    /// Runs until all running nodes hold `version`, or `limit` passes. Returns the time.
    std::optional<duration> run_until_all_hold(config::version_number version, duration limit);

    [[nodiscard]] bool all_hold(config::version_number version) const;
    [[nodiscard]] config::version_number version_of(const std::string& address) const;
    [[nodiscard]] distribution::core& node(const std::string& address);
    [[nodiscard]] std::size_t watchers() const;
    [[nodiscard]] std::vector<std::string> addresses() const;
    [[nodiscard]] fake_source& source() { return m_source; }
    [[nodiscard]] manual_timer_service& timers() { return m_timers; }

    /// Delivers a message as if `from` had sent it.
    void inject(const std::string& from, const std::string& to, const distribution::message& item);

    /// Bytes of messages sent by all nodes so far.
    [[nodiscard]] std::size_t bytes_sent() const { return m_bytes; }

    /// Descriptions of the invariant violations so far.
    [[nodiscard]] const std::vector<std::string>& broken_invariants() const
    {
        return m_invariant_violations;
    }

private:
    struct host;

    [[nodiscard]] std::vector<std::string> seed_addresses(const std::string& address) const;
    void deliver(const std::string& from, const std::string& to, const std::string& bytes);
    void send(const std::string& from, const std::string& to, const distribution::message& item);
    void send_hello(const std::string& from, const std::string& to);
    void check_applied(host& at, const config::snapshot_ptr& config);
    void run_after(duration delay, std::function<void()> work);

    manual_timer_service m_timers;
    std::mt19937_64 m_random;
    fake_source m_source;
    std::map<std::string, std::unique_ptr<host>> m_hosts;
    std::set<std::pair<std::string, std::string>> m_cuts;       // from, to
    std::set<std::pair<std::string, std::string>> m_hello_sent; // from, to
    std::map<std::pair<config::version_number, std::string>, config::snapshot> m_published;
    bool m_ring_seeds = false;
    double m_loss = 0;
    duration m_max_delay = milliseconds(3);
    std::size_t m_bytes = 0;
    std::uint64_t m_epoch = 1;
    std::vector<std::string> m_invariant_violations;
    std::map<std::uint64_t, timer_subscription> m_pending_timers;
    std::uint64_t m_next_timer_id = 0;
    std::size_t m_domains = 0;
};

} // namespace pomelohead::testing
