#include "pomelohead/distribution/traffic.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::distribution {

BOOST_AUTO_TEST_SUITE(traffic_cases)

BOOST_AUTO_TEST_CASE(each_type_is_counted_under_its_own_name)
{
    const std::vector<std::pair<message, std::string_view>> cases = {
        {hello{}, "hello"},
        {ping{}, "ping"},
        {ack{}, "ack"},
        {ping_request{}, "ping_request"},
        {indirect_ack{}, "indirect_ack"},
        {notice{}, "notice"},
        {join_request{}, "join_request"},
        {member_list{}, "member_list"},
        {pull{}, "pull"},
        {manifest_value{}, "manifest_value"},
        {section_values{}, "section_values"},
        {hosts_value{}, "hosts_value"},
    };
    BOOST_REQUIRE_EQUAL(cases.size(), std::variant_size_v<message>);
    for (const auto& [item, name] : cases) {
        traffic counts;
        counts.sent(encode(item), 10);
        counts.received(item, 20);
        for (const message_count& line : counts.lines()) {
            const bool own = line.m_type == name;
            BOOST_TEST_CONTEXT(name << ": line " << line.m_type)
            {
                BOOST_TEST(line.m_sent == (own ? 1U : 0U));
                BOOST_TEST(line.m_sent_bytes == (own ? 10U : 0U));
                BOOST_TEST(line.m_received == (own ? 1U : 0U));
                BOOST_TEST(line.m_received_bytes == (own ? 20U : 0U));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_not_counted)
{
    traffic counts;
    counts.sent("", 1);
    counts.sent("\x82", 1);
    counts.sent("\x82\xff", 1);
    BOOST_TEST((counts.lines() == traffic().lines()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomelohead::distribution
