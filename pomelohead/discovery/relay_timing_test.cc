// Whether a change is received in time if the relay, or the store, falls silent as it is made.
#include "pomelohead/discovery/relay_timing.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::discovery {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(a_silent_relay_or_store_is_replaced_within_the_bound)
{
    for (const milliseconds bound : {1'000ms, 2'000ms, 2'500ms, 3'000ms, 9'000ms}) {
        const relay_timing timing = make_relay_timing(bound);
        // A quarter of the bound is left for the call to the store and for applying the answer.
        const milliseconds rest = bound / 4;
        BOOST_TEST((timing.relay_loss() + rest <= bound));
        BOOST_TEST((timing.store_loss() + rest <= bound));
        BOOST_TEST((timing.direct_loss() + rest <= bound));
    }
}

} // namespace pomelohead::discovery
