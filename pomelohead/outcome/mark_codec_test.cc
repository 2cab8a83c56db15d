#include "pomelohead/outcome/mark_codec.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace pomelohead::outcome {
namespace {

using nlohmann::json;

std::string cbor(const json& value)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

json good_mark()
{
    return {
        {"fingerprint", "f"}, {"crash", "c"}, {"alone", true}, {"cleared", false}, {"left_ms", 5U}};
}

} // namespace

BOOST_AUTO_TEST_CASE(marks_round_trip)
{
    const std::vector<crash_mark> marks{{"f", "rota-1/7/1", true, false, milliseconds(5)},
                                        {"g", "rota-1/7/2", false, true, milliseconds(600'000)}};
    reason why;
    BOOST_TEST((decode_marks(encode_marks(marks), why) == marks));
    BOOST_TEST((decode_marks(encode_marks({}), why) == std::vector<crash_mark>{}));
}

BOOST_AUTO_TEST_CASE(one_invalid_mark_rejects_the_message)
{
    const json long_text(std::string(300, 'x'));
    struct bad_case {
        const char* m_name;
        std::string m_bytes;
    };
    const auto with = [](const char* field, const json& value) {
        json mark = good_mark();
        mark[field] = value;
        return cbor(json::array({good_mark(), mark}));
    };
    const bad_case cases[] = {
        {"empty", ""},
        {"nested deeply", std::string(300'000, '\x81')},
        {"cut short", encode_marks({{"f", "c", true, false, milliseconds(5)}}).substr(0, 20)},
        {"a map", cbor(good_mark())},
        {"unknown field", with("extra", 1)},
        {"fingerprint too long", with("fingerprint", long_text)},
        {"empty crash", with("crash", "")},
        {"flag as a number", with("alone", 1)},
        {"negative time", with("left_ms", -5)},
        {"time above a day", with("left_ms", 86'400'001U)},
        {"too many", cbor(json(std::vector<json>(1001, good_mark())))},
    };
    for (const bad_case& c : cases) {
        reason why;
        BOOST_TEST(!decode_marks(c.m_bytes, why), c.m_name);
        BOOST_TEST(!why.m_text.empty(), c.m_name);
    }
}

} // namespace pomelohead::outcome
