#include "pomelohead/outcome/outcome.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::outcome {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(statuses_and_retry_after)
{
    struct status_case {
        conclusion m_end;
        std::uint16_t m_status = 0;
        std::optional<std::chrono::seconds> m_retry_after; ///< with a hint of 1.5 s
    };
    const status_case cases[] = {
        {{outcome::complete, cause::none}, 200, {}},
        {{outcome::not_run, cause::overloaded}, 503, 2s},
        {{outcome::not_run, cause::draining}, 503, 2s},
        {{outcome::not_run, cause::ticket_expired}, 503, 2s},
        {{outcome::not_run, cause::malformed_request}, 400, {}},
        {{outcome::not_run, cause::malformed_ticket}, 400, {}},
        {{outcome::not_run, cause::no_route}, 404, {}},
        {{outcome::not_run, cause::body_too_large}, 413, {}},
        {{outcome::not_run, cause::headers_too_large}, 431, {}},
        {{outcome::unknown, cause::deadline}, 504, {}},
        {{outcome::unknown, cause::ticket_reused}, 409, {}},
        {{outcome::unknown, cause::target_crashed}, 502, {}},
        {{outcome::unknown, cause::no_route}, 502, {}},
    };
    for (const status_case& c : cases) {
        BOOST_TEST_CONTEXT(to_string(c.m_end.m_outcome) << " " << to_string(c.m_end.m_cause))
        {
            BOOST_TEST(http_status(c.m_end) == c.m_status);
            BOOST_TEST((retry_after(c.m_end, 1500ms) == c.m_retry_after));
        }
    }
    BOOST_TEST((retry_after({outcome::not_run, cause::overloaded}, 0ms) == 1s));
}

BOOST_AUTO_TEST_CASE(texts_round_trip)
{
    for (int i = 0; i <= static_cast<int>(cause::already_ran); ++i) {
        const auto value = static_cast<cause>(i);
        BOOST_TEST((parse_cause(to_string(value)) == value), to_string(value));
    }
    BOOST_TEST((parse_outcome("not-run") == outcome::not_run));
    for (const char* text : {"", "Complete", "not_run", "unknown "}) {
        BOOST_TEST(!parse_outcome(text));
        BOOST_TEST(!parse_cause(text));
    }
}

} // namespace pomelohead::outcome
