#include "pomelohead/node/quarantine_news.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace pomelohead::node {
namespace {

using namespace std::chrono_literals;

std::string cbor(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_CASE(news_is_read_as_it_was_written)
{
    const std::vector<outcome::crash_mark> marks = {
        {.m_fingerprint = "f", .m_crash = "t/7/1", .m_alone = true, .m_left = 90s},
        {.m_fingerprint = "g", .m_crash = "t/7/1", .m_cleared = true, .m_left = 1ms}};
    reason why;
    const auto read = decode_quarantine_news(encode_quarantine_news(marks), why);
    BOOST_REQUIRE_MESSAGE(read, why.m_text);
    BOOST_TEST((*read == marks));
}

BOOST_AUTO_TEST_CASE(malformed_news_is_refused)
{
    const nlohmann::json good = {"f", "c", true, false, 5};
    const std::string cases[] = {
        "",
        "garbage",
        cbor(7),
        cbor({{"f", "c", true, false}}),
        cbor({{"f", "c", true, false, -5}}),
        cbor({{"f", 3, true, false, 5}}),
        cbor({{std::string(300, 'f'), "c", true, false, 5}}),
        cbor(std::vector<nlohmann::json>(21, good)),
        cbor({good}) + "x",
    };
    for (const std::string& bytes : cases) {
        reason why;
        BOOST_TEST(!decode_quarantine_news(bytes, why));
        BOOST_TEST(!why.m_text.empty());
    }
}

} // namespace pomelohead::node
