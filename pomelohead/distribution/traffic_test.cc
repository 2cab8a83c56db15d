#include "pomelohead/distribution/traffic.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::distribution {

BOOST_AUTO_TEST_SUITE(traffic_cases)

BOOST_AUTO_TEST_CASE(each_type_is_counted_under_its_name)
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
        traffic counters;
        counters.record_sent(encode(item), 10);
        counters.record_received(item, 20);
        for (const message_count& line : counters.counts()) {
            const bool is_counted_type = line.m_type == name;
            BOOST_TEST_CONTEXT(name << ": line " << line.m_type)
            {
                BOOST_TEST(line.m_sent == (is_counted_type ? 1U : 0U));
                BOOST_TEST(line.m_sent_bytes == (is_counted_type ? 10U : 0U));
                BOOST_TEST(line.m_received == (is_counted_type ? 1U : 0U));
                BOOST_TEST(line.m_received_bytes == (is_counted_type ? 20U : 0U));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(malformed_bytes_are_not_counted)
{
    traffic counters;
    counters.record_sent("", 1);
    counters.record_sent("\x82", 1);
    counters.record_sent("\x82\xff", 1);
    BOOST_TEST((counters.counts() == traffic().counts()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomelohead::distribution
