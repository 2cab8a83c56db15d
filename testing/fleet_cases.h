// Fault cases on a fleet of three failure domains.
//
//     check_cases({{"the source is down", [](three_domains& d) { ... }, 2}});
#pragma once

#include "testing/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::testing {

using addresses = std::vector<std::string>;

inline constexpr std::size_t nodes_per_domain = 6;
inline constexpr std::uint64_t seeds[] = {1, 2, 3};
/// The users' bound for a version to be in force everywhere.
inline constexpr duration convergence_bound = std::chrono::seconds(9);

/// Three failure domains, with version 1 in force on all.
struct three_domains {
    explicit three_domains(std::uint64_t seed) : m_fleet(seed)
    {
        m_fleet.publish(1);
        m_a = m_fleet.add_domain("dolgellau", nodes_per_domain);
        m_b = m_fleet.add_domain("bala", nodes_per_domain);
        m_c = m_fleet.add_domain("porthmadog", nodes_per_domain);
        m_fleet.run(std::chrono::seconds(20));
        BOOST_REQUIRE(m_fleet.all_hold(1));
    }

    [[nodiscard]] addresses watchers_of(const addresses& domain)
    {
        addresses result;
        for (const std::string& address : domain) {
            if (m_fleet.node(address).reader().status().m_watching) {
                result.push_back(address);
            }
        }
        return result;
    }

    [[nodiscard]] addresses all_but(const addresses& some) const
    {
        addresses result;
        for (const std::string& address : m_fleet.addresses()) {
            if (std::ranges::find(some, address) == some.end()) {
                result.push_back(address);
            }
        }
        return result;
    }

    fake_fleet m_fleet;
    addresses m_a;
    addresses m_b;
    addresses m_c;
};

/// What happens, and the version that all nodes must hold in the end.
struct fleet_case {
    const char* m_name;
    std::function<void(three_domains&)> m_events;
    config::version_number m_final;
};

inline void check_cases(const std::vector<fleet_case>& cases)
{
    for (const fleet_case& c : cases) {
        for (const std::uint64_t seed : seeds) {
            BOOST_TEST_CONTEXT(c.m_name << ", seed " << seed)
            {
                three_domains d(seed);
                c.m_events(d);
                const auto took = d.m_fleet.run_until_all_hold(c.m_final, convergence_bound);
                BOOST_TEST(took.has_value());
                for (const std::string& broken : d.m_fleet.broken_invariants()) {
                    BOOST_ERROR(broken);
                }
            }
        }
    }
}

inline void publish_on(fake_fleet& fleet, fake_source& source, const config::bundle& bundle)
{
    fleet.know(bundle);
    source.publish(bundle);
}

} // namespace pomelohead::testing
