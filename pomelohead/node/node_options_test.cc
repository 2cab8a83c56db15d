#include "pomelohead/node/node_options.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::node {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(changes_wait_for_others_by_the_time_they_have)
{
    settings::node_settings settings;
    const source::follower_options usual;
    BOOST_TEST(
        (catalog_options_of(settings, 1).m_registrations.m_batch_delay == usual.m_batch_delay));
    for (const milliseconds within : {1000ms, 2000ms, 2500ms, 9000ms}) {
        settings.m_in_force_within = within;
        const discovery::catalog_options options = catalog_options_of(settings, 1);
        for (const source::follower_options& part :
             {options.m_configuration, options.m_registrations}) {
            // Two waits and the calls between them fit into the bound.
            BOOST_TEST((part.m_batch_delay * 2 < within));
            BOOST_TEST((part.m_batch_delay >= within / 4));
        }
    }
}

} // namespace pomelohead::node
