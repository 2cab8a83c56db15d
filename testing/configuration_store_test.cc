#include "testing/configuration_store.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace pomelohead::testing {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(calls_above_the_rate_are_refused_and_counted)
{
    configuration_store store(3);
    const time_point begin{};
    int answered = 0;
    for (int i = 0; i < 5; ++i) {
        answered += store.admit("manifest", "a", "b", begin + i * 100ms) == admission::answer;
    }
    BOOST_TEST(answered == 3);
    BOOST_TEST((store.admit("manifest", "a", "b", begin + 1s) == admission::answer));
    BOOST_TEST((store.admit("manifest", "a", "b", begin + 1001ms) == admission::refuse_rate));
    BOOST_TEST(store.stats().at("calls") == 7);
    BOOST_TEST(store.stats().at("refused") == 3);
    BOOST_TEST(store.stats().at("max_calls_in_one_second") == 6);
}

BOOST_AUTO_TEST_CASE(indices_rise_unless_an_operator_sets_one)
{
    configuration_store store(1);
    BOOST_TEST(store.get("manifest").m_index == 0);
    BOOST_TEST(store.put("manifest", "first") == 1);
    BOOST_TEST(store.put("hosts", "[]") == 2);
    BOOST_TEST(store.put("manifest", "older", 1) == 1);
    BOOST_TEST(store.get("manifest").m_bytes == "older");
    BOOST_TEST(store.put("manifest", "newer") > 2);
}

BOOST_AUTO_TEST_CASE(a_bad_control_message_is_explained)
{
    configuration_store store(1);
    for (const char* text : {"[]", R"({"mode":"asleep"})", R"({"blocked":1})", "{"}) {
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(store.control(nlohmann::json::parse(text, nullptr, false)).has_value());
        }
    }
    BOOST_TEST(!store.control({{"mode", "down"}, {"blocked", {"127.0.0.9"}}}));
    BOOST_TEST(store.is_blocked("127.0.0.9", "127.0.0.1"));
    BOOST_TEST((store.admit("hosts", "a", "b", {}) == admission::drop));
}

} // namespace pomelohead::testing
