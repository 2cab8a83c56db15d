// When a whole fleet restarts at once, each node knows almost no other members at first.
// It must not elect itself as a watcher of the source because of that.
#include "testing/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::distribution {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t nodes_in_domain = 20;
constexpr std::size_t expected_watchers = 6; // two in each of three failure domains
// Nodes whose view misses a few members may become watchers for a while.
constexpr std::size_t max_watchers = 2 * expected_watchers;

struct restart_case {
    const char* m_name;
    milliseconds m_between_starts;
    milliseconds m_max_delay; // of a message
    double m_loss;
    bool m_source_down;
};

void check_watcher_count(const restart_case& item, std::uint64_t seed)
{
    testing::fake_fleet fleet(seed);
    fleet.publish(1);
    for (const char* domain : {"dolgellau", "bala", "porthmadog"}) {
        fleet.add_domain(domain, nodes_in_domain);
    }
    fleet.run(10s);
    BOOST_REQUIRE(fleet.all_hold(1));

    fleet.use_ring_seeds();
    fleet.set_max_delay(item.m_max_delay);
    fleet.set_loss(item.m_loss);
    if (item.m_source_down) {
        fleet.source().set_mode(testing::source_mode::down);
    }
    for (const std::string& address : fleet.addresses()) {
        fleet.kill(address);
    }
    for (const std::string& address : fleet.addresses()) {
        fleet.start(address);
        fleet.run(item.m_between_starts);
    }
    std::size_t peak_watchers = fleet.watchers();
    for (milliseconds passed = 0ms; passed < 12s; passed += 50ms) {
        fleet.run(50ms);
        peak_watchers = std::max(peak_watchers, fleet.watchers());
    }
    BOOST_TEST(peak_watchers <= max_watchers);
    BOOST_TEST(fleet.watchers() == expected_watchers);
    fleet.source().set_mode(testing::source_mode::up);
    BOOST_TEST(fleet.run_until_all_hold(1, 30s).has_value());
    BOOST_TEST(fleet.broken_invariants().empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_mass_restart_cases)

BOOST_AUTO_TEST_CASE(a_fleet_that_restarts_at_once_has_few_watchers)
{
    const restart_case cases[] = {
        {"all at once", 0ms, 3ms, 0, false},
        {"all at once, source down", 0ms, 3ms, 0, true},
        {"one after the other", 10ms, 3ms, 0, false},
        {"one after the other, slow links", 10ms, 200ms, 0, true},
        {"one after the other, 5% message loss", 10ms, 20ms, 0.05, true},
    };
    for (const restart_case& item : cases) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            BOOST_TEST_CONTEXT(item.m_name << ", seed " << seed)
            {
                check_watcher_count(item, seed);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomelohead::distribution
