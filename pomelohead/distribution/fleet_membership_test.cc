// Leaving, death and replacement of nodes, and the cost of membership, on simulated fleets
// of cores.
#include "testing/fleet_cases.h"

namespace pomelohead::distribution {

using namespace std::chrono_literals;
using namespace testing;
using membership::member_state;

namespace {

// Returns how many of `nodes` see `address` in `state`.
std::size_t count_nodes_that_see(three_domains& d, const addresses& nodes,
                                 const std::string& address, member_state state)
{
    return static_cast<std::size_t>(std::ranges::count_if(nodes, [&](const std::string& node) {
        const std::vector<membership::member> members = d.m_fleet.node(node).members();
        return std::ranges::any_of(members, [&](const membership::member& item) {
            return item.m_address == address && item.m_state == state;
        });
    }));
}

std::string hosts_with_leaving(const std::string& leaving)
{
    return R"([{"host":"x","address":")" + leaving +
           R"(","failure_domain":"bala","region":"gwynedd","state":"leaving"}])";
}

} // namespace

BOOST_AUTO_TEST_CASE(every_node_sees_every_other_as_alive)
{
    for (const std::uint64_t seed : seeds) {
        three_domains d(seed);
        const addresses all = d.m_fleet.addresses();
        for (const std::string& address : all) {
            BOOST_TEST(count_nodes_that_see(d, all, address, member_state::alive) == all.size());
        }
    }
}

BOOST_AUTO_TEST_CASE(all_nodes_see_a_leaving_node_within_a_second)
{
    for (const std::uint64_t seed : seeds) {
        three_domains d(seed);
        const std::string leaving_node = d.watchers_of(d.m_b).front();
        d.m_fleet.node(leaving_node).announce_leaving();
        d.m_fleet.run(1s);
        const addresses all = d.m_fleet.addresses();
        BOOST_TEST(count_nodes_that_see(d, all, leaving_node, member_state::leaving) == all.size());
        BOOST_TEST(d.watchers_of(d.m_b).size() == core_options{}.m_watchers);
        d.m_fleet.kill(leaving_node);
        d.m_fleet.run(30s);
        const addresses rest = d.all_but({leaving_node});
        BOOST_TEST(count_nodes_that_see(d, rest, leaving_node, member_state::dead) == rest.size());
    }
}

BOOST_AUTO_TEST_CASE(all_nodes_see_a_dead_node_and_its_replacement)
{
    for (const std::uint64_t seed : seeds) {
        three_domains d(seed);
        const std::string dead = d.m_c[2];
        const addresses rest = d.all_but({dead});
        d.m_fleet.kill(dead);
        d.m_fleet.run(20s);
        BOOST_TEST(count_nodes_that_see(d, rest, dead, member_state::dead) == rest.size());
        d.m_fleet.start(dead);
        d.m_fleet.run(10s);
        BOOST_TEST(count_nodes_that_see(d, rest, dead, member_state::alive) == rest.size());
    }
}

BOOST_AUTO_TEST_CASE(no_node_stays_dead_after_message_loss)
{
    for (const std::uint64_t seed : seeds) {
        three_domains d(seed);
        d.m_fleet.set_loss(0.1);
        d.m_fleet.run(2min);
        d.m_fleet.set_loss(0);
        d.m_fleet.run(20s);
        const addresses all = d.m_fleet.addresses();
        for (const std::string& address : all) {
            BOOST_TEST(count_nodes_that_see(d, all, address, member_state::alive) == all.size());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_one_way_partition_between_two_nodes_makes_neither_dead)
{
    for (const std::uint64_t seed : seeds) {
        three_domains d(seed);
        d.m_fleet.cut_one_way({d.m_a[0]}, {d.m_b[0]});
        d.m_fleet.run(2min);
        const addresses rest = d.all_but({d.m_a[0], d.m_b[0]});
        BOOST_TEST(count_nodes_that_see(d, rest, d.m_a[0], member_state::alive) == rest.size());
        BOOST_TEST(count_nodes_that_see(d, rest, d.m_b[0], member_state::alive) == rest.size());
    }
}

BOOST_AUTO_TEST_CASE(the_host_list_sets_and_clears_the_leaving_state)
{
    three_domains d(1);
    d.m_fleet.source().put("hosts", hosts_with_leaving(d.m_a[1]));
    d.m_fleet.run(3s);
    const addresses all = d.m_fleet.addresses();
    BOOST_TEST(count_nodes_that_see(d, all, d.m_a[1], member_state::leaving) == all.size());
    d.m_fleet.source().put("hosts", "[]");
    d.m_fleet.run(3s);
    BOOST_TEST(count_nodes_that_see(d, all, d.m_a[1], member_state::alive) == all.size());
    d.m_fleet.source().put("hosts", "[{");
    d.m_fleet.run(3s);
    BOOST_TEST(count_nodes_that_see(d, all, d.m_a[1], member_state::alive) == all.size());
}

BOOST_AUTO_TEST_CASE(a_restarted_node_exceeds_the_epoch_of_a_predecessor_with_a_clock_ahead)
{
    three_domains d(1);
    const std::string address = d.m_a[4];
    // The other nodes know a process with a later epoch under this address.
    membership::member ahead = d.m_fleet.node(address).make_hello().m_self;
    ahead.m_incarnation = membership::first_incarnation(1'000);
    const addresses rest = d.all_but({address});
    for (const std::string& node : rest) {
        d.m_fleet.inject(d.m_b[0], node, notice{{}, {ahead}, false});
    }
    d.m_fleet.run(10s);
    BOOST_TEST(membership::epoch_of(d.m_fleet.node(address).peers().table().self().m_incarnation) >
               1'000U);
    BOOST_TEST(!d.m_fleet.node(address).peers().is_superseded());
}

BOOST_AUTO_TEST_CASE(a_resumed_process_does_not_refute_its_successor)
{
    three_domains d(1);
    const std::string address = d.m_a[4];
    d.m_fleet.freeze(address);
    d.m_fleet.run(60s);
    membership::member successor = d.m_fleet.node(address).make_hello().m_self;
    successor.m_incarnation = membership::first_incarnation(1'000);
    const addresses rest = d.all_but({address});
    for (const std::string& node : rest) {
        d.m_fleet.inject(d.m_b[0], node, notice{{}, {successor}, false});
    }
    d.m_fleet.run(100ms);
    d.m_fleet.thaw(address);
    d.m_fleet.run(10s);
    BOOST_TEST(d.m_fleet.node(address).peers().is_superseded());
    for (const std::string& node : rest) {
        const membership::member* known = d.m_fleet.node(node).peers().table().find(address);
        BOOST_REQUIRE(known != nullptr);
        BOOST_TEST(known->m_incarnation >= successor.m_incarnation);
    }
}

BOOST_AUTO_TEST_CASE(steady_traffic_per_node_does_not_grow_with_the_fleet)
{
    // Message bytes that a node sends per second in a steady state, minutes after its start.
    const auto rate = [](std::size_t nodes) {
        fake_fleet fleet(1);
        fleet.publish(1);
        fleet.add_domain("a", nodes / 2);
        fleet.add_domain("b", nodes / 2);
        fleet.run(3min);
        const std::size_t before = fleet.bytes_sent();
        constexpr int seconds = 60;
        fleet.run(std::chrono::seconds(seconds));
        return static_cast<double>(fleet.bytes_sent() - before) / seconds /
               static_cast<double>(nodes);
    };
    const double small = rate(12);
    const double large = rate(60);
    BOOST_TEST_MESSAGE("bytes sent per node and second: " << small << " of 12, " << large
                                                          << " of 60");
    constexpr double tolerance = 1.25;
    BOOST_TEST(large <= small * tolerance);
    // The users' limit is 6 KB per second sent and received; half of it is sent.
    constexpr double sent_bound = 3'000;
    BOOST_TEST(large <= sent_bound);
}

} // namespace pomelohead::distribution
