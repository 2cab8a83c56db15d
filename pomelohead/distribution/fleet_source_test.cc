// Concurrent updates, faults of the source and invalid versions, on simulated fleets of
// cores.
#include "testing/fleet_cases.h"

namespace pomelohead::distribution {

using namespace std::chrono_literals;
using namespace testing;

BOOST_AUTO_TEST_CASE(a_healthy_fleet_applies_a_version_within_a_second_with_few_watchers)
{
    for (const std::uint64_t seed : seeds) {
        three_domains d(seed);
        constexpr std::size_t domains = 3;
        BOOST_TEST(d.m_fleet.watchers() == domains * core_options{}.m_watchers);
        d.m_fleet.publish(2);
        constexpr duration healthy_bound = 1s;
        BOOST_TEST(d.m_fleet.run_until_all_hold(2, healthy_bound).has_value());
        BOOST_TEST(d.m_fleet.broken_invariants().empty());
    }
}

BOOST_AUTO_TEST_CASE(a_fleet_converges_on_concurrent_updates)
{
    check_cases({
        {"manifest before its sections",
         [](three_domains& d) {
             const config::bundle next = testing::sample_bundle(2);
             d.m_fleet.know(next);
             d.m_fleet.source().put("manifest", next.m_manifest);
             d.m_fleet.run(1s);
             BOOST_TEST(d.m_fleet.all_hold(1));
             d.m_fleet.source().publish(next);
         },
         2},
        {"section with wrong content first",
         [](three_domains& d) {
             const config::bundle next = testing::sample_bundle(2);
             d.m_fleet.know(next);
             for (const auto& [hash, bytes] : next.m_sections) {
                 d.m_fleet.source().put("sections/" + hash, "{\"routes\":[]}");
             }
             d.m_fleet.source().put("manifest", next.m_manifest);
             d.m_fleet.run(1s);
             BOOST_TEST(d.m_fleet.all_hold(1));
             d.m_fleet.source().publish(next);
         },
         2},
        {"N+2 before N+1",
         [](three_domains& d) {
             d.m_fleet.publish(3);
             d.m_fleet.publish(2);
         },
         3},
        {"the same version twice",
         [](three_domains& d) {
             d.m_fleet.publish(2);
             d.m_fleet.run(500ms);
             d.m_fleet.publish(2);
         },
         2},
        {"ten changes in a second",
         [](three_domains& d) {
             for (config::version_number version = 2; version <= 11; ++version) {
                 d.m_fleet.publish(version);
                 d.m_fleet.run(100ms);
             }
         },
         11},
        {"network that loses, delays and reorders messages",
         [](three_domains& d) {
             d.m_fleet.set_loss(0.2);
             d.m_fleet.set_max_delay(150ms);
             for (config::version_number version = 2; version <= 4; ++version) {
                 d.m_fleet.publish(version);
                 d.m_fleet.run(150ms);
             }
         },
         4},
    });
}

BOOST_AUTO_TEST_CASE(a_fleet_converges_after_faults_of_the_source)
{
    check_cases({
        {"down for 10 minutes, then up with a newer version",
         [](three_domains& d) {
             d.m_fleet.source().set_mode(source_mode::down);
             d.m_fleet.run(10min);
             BOOST_TEST(d.m_fleet.all_hold(1));
             d.m_fleet.publish(2);
             d.m_fleet.source().set_mode(source_mode::up);
             d.m_fleet.run(15s); // maximum backoff of the readers
         },
         2},
        {"returns to an older version",
         [](three_domains& d) {
             d.m_fleet.publish(5);
             d.m_fleet.run(5s);
             d.m_fleet.publish(4);
             d.m_fleet.run(60s);
             bool reported = false;
             for (const std::string& address : d.m_fleet.addresses()) {
                 const auto& refusal = d.m_fleet.node(address).versions().gate().last_refusal();
                 reported = reported || (refusal && refusal->m_why.m_code == reason_code::stale);
             }
             BOOST_TEST(reported);
         },
         5},
        {"different readers get different versions",
         [](three_domains& d) {
             static_cast<void>(d.m_fleet.run_until_all_hold(1, 0s));
             auto ahead = std::make_shared<fake_source>(d.m_fleet.timers());
             publish_on(d.m_fleet, *ahead, testing::sample_bundle(2));
             d.m_fleet.set_source(d.m_a, ahead.get());
             d.m_fleet.run(30s);
             BOOST_TEST(d.m_fleet.all_hold(2));
             d.m_fleet.set_source(d.m_a, &d.m_fleet.source());
             d.m_fleet.run(30s);
         },
         2},
        {"slow",
         [](three_domains& d) {
             d.m_fleet.source().set_delay(1s);
             d.m_fleet.publish(2);
         },
         2},
        {"accepts connections without answering, then recovers",
         [](three_domains& d) {
             d.m_fleet.source().set_mode(source_mode::hanging);
             d.m_fleet.run(2min);
             d.m_fleet.source().set_mode(source_mode::up);
             d.m_fleet.publish(2);
             d.m_fleet.run(60s); // pending long polls and timeouts
         },
         2},
        {"truncated values, then complete ones",
         [](three_domains& d) {
             d.m_fleet.publish(2);
             d.m_fleet.source().set_mode(source_mode::cut_short);
             d.m_fleet.run(30s);
             d.m_fleet.source().set_mode(source_mode::up);
             d.m_fleet.run(15s);
         },
         2},
        {"truncated manifest, then a complete one",
         [](three_domains& d) {
             d.m_fleet.source().put("manifest", testing::sample_bundle(2).m_manifest.substr(0, 30));
             d.m_fleet.run(5s);
             BOOST_TEST(d.m_fleet.all_hold(1));
             d.m_fleet.publish(2);
         },
         2},
    });
}

BOOST_AUTO_TEST_CASE(invalid_and_conflicting_versions_are_rejected)
{
    check_cases({
        {"invalid version between two valid ones",
         [](three_domains& d) {
             d.m_fleet.publish(2);
             d.m_fleet.source().publish(testing::invalid_bundle(3));
             d.m_fleet.publish(4);
         },
         4},
        {"the valid version before an invalid one stays in force",
         [](three_domains& d) {
             d.m_fleet.publish(2);
             d.m_fleet.run(2s);
             d.m_fleet.source().publish(testing::invalid_bundle(3));
             d.m_fleet.run(60s);
         },
         2},
        {"the same version with different content",
         [](three_domains& d) {
             d.m_fleet.publish(2);
             d.m_fleet.run(2s);
             d.m_fleet.publish(2, "other");
             d.m_fleet.run(10s);
             bool reported = false;
             const std::string hash =
                 d.m_fleet.node(d.m_a[0]).versions().gate().version_in_force().m_manifest_hash;
             for (const std::string& address : d.m_fleet.addresses()) {
                 const auto& gate = d.m_fleet.node(address).versions().gate();
                 BOOST_TEST(gate.version_in_force().m_manifest_hash == hash);
                 reported = reported || (gate.last_refusal() && gate.last_refusal()->m_why.m_code ==
                                                                    reason_code::conflict);
             }
             BOOST_TEST(reported);
         },
         2},
    });
}

BOOST_AUTO_TEST_CASE(an_invalid_first_version_is_rejected_and_the_next_one_applied)
{
    for (const std::uint64_t seed : seeds) {
        fake_fleet fleet(seed);
        fleet.source().publish(testing::invalid_bundle(1));
        fleet.add_domain("bala", nodes_per_domain);
        fleet.run(15s);
        BOOST_TEST(fleet.all_hold(0));
        fleet.publish(2);
        BOOST_TEST(fleet.run_until_all_hold(2, convergence_bound).has_value());
        BOOST_TEST(fleet.broken_invariants().empty());
    }
}

} // namespace pomelohead::distribution
