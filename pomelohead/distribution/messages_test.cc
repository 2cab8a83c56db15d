#include "pomelohead/distribution/messages.h"

#include "pomelohead/distribution/cbor_check.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace pomelohead::distribution {
namespace {

using namespace std::chrono_literals;

membership::member sample_member()
{
    return {.m_node = "bala-1",
            .m_address = "127.0.1.1",
            .m_failure_domain = "bala",
            .m_region = "gwynedd",
            .m_incarnation = membership::first_incarnation(1'700'000'000'000U),
            .m_state = membership::member_state::suspect};
}

summary sample_summary()
{
    return {.m_incarnation = 77,
            .m_leaving = true,
            .m_version_in_force = {8, config::content_hash("8")},
            .m_source_age = 1500ms,
            .m_hosts_index = 4};
}

std::vector<message> one_of_each()
{
    return {hello{.m_self = sample_member()},
            ping{7, sample_summary(), {sample_member()}},
            ack{7, {}, {}},
            ping_request{3, "127.0.1.2"},
            indirect_ack{3, "127.0.1.2"},
            notice{sample_summary(), {sample_member(), sample_member()}, true},
            join_request{},
            member_list{sample_summary(), {sample_member()}},
            pull{config::content_hash("a"), {config::content_hash("b")}, true},
            manifest_value{config::content_hash("a"), "{}"},
            section_values{{"one", "two"}},
            hosts_value{9, "[]"}};
}

} // namespace

BOOST_AUTO_TEST_CASE(every_message_type_round_trips)
{
    for (const message& item : one_of_each()) {
        reason why;
        const std::optional<message> read = decode(encode(item), why);
        BOOST_REQUIRE_MESSAGE(read, why.m_text);
        BOOST_TEST((*read == item));
    }
}

BOOST_AUTO_TEST_CASE(malformed_bytes_are_rejected_with_a_reason)
{
    struct bytes_case {
        const char* m_name;
        std::string m_bytes;
        reason_code m_code;
    };
    membership::member no_address = sample_member();
    no_address.m_address = "not an address";
    hello old_protocol{.m_self = sample_member()};
    old_protocol.m_protocol = protocol_version - 1;
    summary no_hash = sample_summary();
    no_hash.m_version_in_force.m_manifest_hash.clear();
    notice too_many;
    too_many.m_updates.assign(max_piggyback + 1, sample_member());
    const bytes_case cases[] = {
        {"empty", "", reason_code::malformed},
        {"garbage", "GET / HTTP/1.1\r\n\r\n", reason_code::malformed},
        {"a number instead of an array", std::string(1, '\x07'), reason_code::malformed},
        {"unknown type", std::string("\x82\x18\x63\x80"), reason_code::malformed},
        {"too few fields", std::string("\x82\x03\x81\x01"), reason_code::malformed},
        {"nesting deep enough to overflow the stack", std::string(500'000, '\x81'),
         reason_code::malformed},
        {"array longer than the input", std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"),
         reason_code::malformed},
        {"text longer than the input", std::string("\x7b\xff\xff\xff\xff\xff\xff\xff\xff"),
         reason_code::malformed},
        {"indefinite length", std::string("\x9f\x01\xff"), reason_code::malformed},
        {"trailing bytes", encode(join_request{}) + "x", reason_code::malformed},
        {"another protocol version", encode(old_protocol), reason_code::malformed},
        {"member without an IP address", encode(hello{.m_self = no_address}),
         reason_code::malformed},
        {"version without a hash", encode(ack{1, no_hash, {}}), reason_code::malformed},
        {"too many updates", encode(too_many), reason_code::malformed},
        {"oversized", std::string(max_message_bytes + 1, 'x'), reason_code::too_large},
    };
    for (const bytes_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            reason why;
            BOOST_TEST(!decode(c.m_bytes, why));
            BOOST_TEST(to_string(why.m_code) == to_string(c.m_code));
            BOOST_TEST(!why.m_text.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(every_truncated_message_is_rejected)
{
    for (const message& item : one_of_each()) {
        const std::string bytes = encode(item);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            reason why;
            BOOST_TEST(!decode(bytes.substr(0, size), why));
        }
    }
}

BOOST_AUTO_TEST_CASE(random_corruption_is_decoded_or_rejected_with_a_reason)
{
    std::mt19937_64 random(1);
    for (int round = 0; round < 2'000; ++round) {
        for (const message& item : one_of_each()) {
            std::string bytes = encode(item);
            bytes[random() % bytes.size()] = static_cast<char>(random());
            reason why;
            const std::optional<message> read = decode(bytes, why);
            BOOST_REQUIRE(read || !why.m_text.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_ping_without_updates_is_small)
{
    constexpr std::size_t bound = 100;
    BOOST_TEST(encode(ping{1'000, sample_summary(), {}}).size() < bound);
}

} // namespace pomelohead::distribution
