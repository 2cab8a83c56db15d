// Mass restarts, process freezes and network partitions, on simulated fleets of cores.
#include "testing/fleet_cases.h"

namespace pomelohead::distribution {

using namespace std::chrono_literals;
using namespace testing;

BOOST_AUTO_TEST_CASE(a_fleet_converges_after_a_mass_restart)
{
    const auto restart = [](three_domains& d, const addresses& nodes, duration pause) {
        for (const std::string& address : nodes) {
            d.m_fleet.kill(address);
        }
        d.m_fleet.run(pause);
        for (const std::string& address : nodes) {
            d.m_fleet.start(address);
        }
    };
    const auto half = [](const three_domains& d) {
        addresses nodes = d.m_fleet.addresses();
        addresses result;
        for (std::size_t i = 0; i < nodes.size(); i += 2) {
            result.push_back(nodes[i]);
        }
        return result;
    };
    check_cases({
        {"a whole failure domain restarts at once",
         [&](three_domains& d) { restart(d, d.m_b, 30s); }, 1},
        {"all nodes restart at once",
         [&](three_domains& d) { restart(d, d.m_fleet.addresses(), 1s); }, 1},
        {"half the fleet restarts while the source is down",
         [&](three_domains& d) {
             d.m_fleet.source().set_mode(source_mode::down);
             d.m_fleet.run(5s);
             restart(d, half(d), 10s);
         },
         1},
        {"half the fleet restarts after the source returned to an older version",
         [&](three_domains& d) {
             d.m_fleet.publish(5);
             d.m_fleet.run(5s);
             d.m_fleet.publish(4);
             d.m_fleet.run(5s);
             restart(d, half(d), 10s);
         },
         5},
        {"a version is published while a failure domain restarts",
         [&](three_domains& d) {
             restart(d, d.m_c, 3s);
             d.m_fleet.publish(2);
         },
         2},
        {"a failure domain restarts twice in a row",
         [&](three_domains& d) {
             restart(d, d.m_a, 500ms);
             d.m_fleet.run(1s);
             restart(d, d.m_a, 500ms);
         },
         1},
    });
}

BOOST_AUTO_TEST_CASE(a_mass_restart_keeps_the_call_rate_of_the_source_bounded)
{
    for (const std::uint64_t seed : seeds) {
        three_domains d(seed);
        const addresses all = d.m_fleet.addresses();
        for (const std::string& address : all) {
            d.m_fleet.kill(address);
        }
        const std::size_t before = d.m_fleet.source().calls();
        for (const std::string& address : all) {
            d.m_fleet.start(address);
        }
        // Half of the limit of 2,000 calls per second, divided by 500 nodes, is 2 per node.
        constexpr std::size_t calls_per_node_and_s = 2;
        constexpr int seconds = 10;
        std::size_t last = before;
        for (int second = 0; second < seconds; ++second) {
            d.m_fleet.run(1s);
            BOOST_TEST(d.m_fleet.source().calls() - last <= calls_per_node_and_s * all.size());
            last = d.m_fleet.source().calls();
        }
        BOOST_TEST(d.m_fleet.all_hold(1));
    }
}

BOOST_AUTO_TEST_CASE(a_fleet_converges_after_nodes_were_frozen)
{
    check_cases({
        {"one node resumes after 60 s with a stale view",
         [](three_domains& d) {
             d.m_fleet.freeze(d.m_a[3]);
             d.m_fleet.publish(2);
             d.m_fleet.run(60s);
             BOOST_TEST(d.m_fleet.version_of(d.m_a[3]) == 1U);
             d.m_fleet.thaw(d.m_a[3]);
         },
         2},
        {"one node freezes while it fetches a version",
         [](three_domains& d) {
             d.m_fleet.publish(2);
             while (!d.m_fleet.node(d.m_b[2]).versions().is_assembling() &&
                    d.m_fleet.version_of(d.m_b[2]) == 1) {
                 d.m_fleet.run(1ms);
             }
             d.m_fleet.freeze(d.m_b[2]);
             d.m_fleet.publish(3);
             d.m_fleet.run(60s);
             d.m_fleet.thaw(d.m_b[2]);
         },
         3},
        {"all watchers of a failure domain freeze",
         [](three_domains& d) {
             const addresses watchers = d.watchers_of(d.m_a);
             for (const std::string& address : watchers) {
                 d.m_fleet.freeze(address);
             }
             d.m_fleet.publish(2);
             d.m_fleet.run(60s);
             for (const std::string& address : d.m_a) {
                 const bool frozen = std::ranges::find(watchers, address) != watchers.end();
                 BOOST_TEST(d.m_fleet.version_of(address) == (frozen ? 1U : 2U));
             }
             for (const std::string& address : watchers) {
                 d.m_fleet.thaw(address);
             }
         },
         2},
        {"every node freezes at once",
         [](three_domains& d) {
             for (const std::string& address : d.m_fleet.addresses()) {
                 d.m_fleet.freeze(address);
             }
             d.m_fleet.publish(2);
             d.m_fleet.run(60s);
             for (const std::string& address : d.m_fleet.addresses()) {
                 d.m_fleet.thaw(address);
             }
         },
         2},
    });
}

BOOST_AUTO_TEST_CASE(a_resumed_node_is_unconfirmed_until_a_peer_answers)
{
    three_domains d(1);
    d.m_fleet.freeze(d.m_a[3]);
    d.m_fleet.run(60s);
    d.m_fleet.thaw(d.m_a[3]);
    const core& resumed = d.m_fleet.node(d.m_a[3]);
    BOOST_TEST(resumed.peers().is_unconfirmed());
    BOOST_TEST((resumed.last_freeze() && *resumed.last_freeze() >= 59s));
    d.m_fleet.run(1s);
    BOOST_TEST(!resumed.peers().is_unconfirmed());
}

BOOST_AUTO_TEST_CASE(a_fleet_converges_after_a_network_partition)
{
    check_cases({
        {"a failure domain without the source gets the version from its peers",
         [](three_domains& d) {
             d.m_fleet.set_source(d.m_a, nullptr);
             d.m_fleet.publish(2);
         },
         2},
        {"a failure domain without peers reads the source",
         [](three_domains& d) {
             d.m_fleet.cut(d.m_a, d.all_but(d.m_a));
             d.m_fleet.publish(2);
         },
         2},
        {"without source and peers it keeps its version; the peers return first",
         [](three_domains& d) {
             d.m_fleet.set_source(d.m_a, nullptr);
             d.m_fleet.cut(d.m_a, d.all_but(d.m_a));
             d.m_fleet.publish(2);
             d.m_fleet.run(5min);
             for (const std::string& address : d.m_a) {
                 BOOST_TEST(d.m_fleet.version_of(address) == 1U);
             }
             d.m_fleet.heal();
         },
         2},
        {"without source and peers; the source returns first",
         [](three_domains& d) {
             d.m_fleet.set_source(d.m_a, nullptr);
             d.m_fleet.cut(d.m_a, d.all_but(d.m_a));
             d.m_fleet.publish(2);
             d.m_fleet.run(5min);
             d.m_fleet.set_source(d.m_a, &d.m_fleet.source());
             d.m_fleet.run(10s); // the readers' backoff
         },
         2},
        {"the two sides of a partition read different versions",
         [](three_domains& d) {
             auto other = std::make_shared<fake_source>(d.m_fleet.timers());
             publish_on(d.m_fleet, *other, testing::sample_bundle(3));
             d.m_fleet.cut(d.m_a, d.all_but(d.m_a));
             d.m_fleet.set_source(d.m_a, other.get());
             d.m_fleet.publish(2);
             d.m_fleet.run(2min);
             BOOST_TEST(d.m_fleet.version_of(d.m_a[0]) == 3U);
             BOOST_TEST(d.m_fleet.version_of(d.m_b[0]) == 2U);
             d.m_fleet.set_source(d.m_a, &d.m_fleet.source());
             d.m_fleet.heal();
         },
         3},
        {"all failure domains partitioned, one without the source, healed in turn",
         [](three_domains& d) {
             d.m_fleet.cut(d.m_a, d.m_b);
             d.m_fleet.cut(d.m_b, d.m_c);
             d.m_fleet.cut(d.m_a, d.m_c);
             d.m_fleet.set_source(d.m_a, nullptr);
             d.m_fleet.publish(2);
             d.m_fleet.run(1min);
             d.m_fleet.heal();
             d.m_fleet.cut(d.m_a, d.m_c); // the version must pass through the third one
         },
         2},
        {"one-way partition: a failure domain receives but cannot send",
         [](three_domains& d) {
             d.m_fleet.cut_one_way(d.m_a, d.all_but(d.m_a));
             d.m_fleet.publish(2);
         },
         2},
        {"one-way partition: a failure domain sends but cannot receive, and has no source",
         [](three_domains& d) {
             d.m_fleet.set_source(d.m_a, nullptr);
             d.m_fleet.cut_one_way(d.all_but(d.m_a), d.m_a);
             d.m_fleet.publish(2);
             d.m_fleet.run(2min);
             BOOST_TEST(d.m_fleet.version_of(d.m_a[0]) == 1U);
             d.m_fleet.heal();
         },
         2},
    });
}

BOOST_AUTO_TEST_CASE(different_content_under_one_version_is_a_conflict_after_a_partition)
{
    for (const std::uint64_t seed : seeds) {
        three_domains d(seed);
        fake_source other(d.m_fleet.timers());
        publish_on(d.m_fleet, other, testing::sample_bundle(2, "other"));
        d.m_fleet.cut(d.m_a, d.all_but(d.m_a));
        d.m_fleet.set_source(d.m_a, &other);
        d.m_fleet.publish(2);
        d.m_fleet.run(2min);
        d.m_fleet.set_source(d.m_a, &d.m_fleet.source());
        d.m_fleet.heal();
        d.m_fleet.run(30s);
        for (const std::string& address : d.m_a) {
            const auto& gate = d.m_fleet.node(address).versions().gate();
            BOOST_TEST((gate.last_refusal() &&
                        gate.last_refusal()->m_why.m_code == reason_code::conflict));
        }
        d.m_fleet.publish(3);
        BOOST_TEST(d.m_fleet.run_until_all_hold(3, convergence_bound).has_value());
        BOOST_TEST(d.m_fleet.broken_invariants().empty());
        d.m_fleet.set_source(d.m_a, nullptr);
    }
}

BOOST_AUTO_TEST_CASE(a_starting_node_prefers_a_newer_version_of_a_peer_to_a_stale_source)
{
    for (const std::uint64_t seed : seeds) {
        three_domains d(seed);
        d.m_fleet.publish(2);
        d.m_fleet.run(5s);
        fake_source old(d.m_fleet.timers());
        publish_on(d.m_fleet, old, testing::sample_bundle(1));
        d.m_fleet.set_source(d.m_fleet.addresses(), &old);
        const std::string holder = d.m_a[0];
        const addresses others = d.all_but({holder});
        for (const std::string& address : others) {
            d.m_fleet.kill(address);
        }
        d.m_fleet.start(d.m_a[1]);
        BOOST_TEST(d.m_fleet.run_until_all_hold(2, convergence_bound).has_value());
        BOOST_TEST(d.m_fleet.broken_invariants().empty());
        d.m_fleet.set_source(d.m_fleet.addresses(), nullptr);
    }
}

BOOST_AUTO_TEST_CASE(a_node_without_peers_accepts_the_version_of_the_source)
{
    fake_fleet fleet(1);
    fleet.publish(7);
    const addresses nodes = fleet.add_domain("bala", 3);
    fleet.kill(nodes[1]);
    fleet.kill(nodes[2]);
    BOOST_TEST(fleet.run_until_all_hold(7, convergence_bound).has_value());
}

} // namespace pomelohead::distribution
