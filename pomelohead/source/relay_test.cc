// What followers of a relay hear, and that its messages and packed values are checked.
#include "pomelohead/source/relay.h"

#include "pomelohead/source/relay_codec.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::source {
namespace {

using view = std::map<std::string, std::string>;

// Takes changes as a follower does.
void take(const relayed_changes& changes, view& known)
{
    for (const relayed_item& item : changes.m_items) {
        if (!item.m_value) {
            known.erase(item.m_key);
            continue;
        }
        reason why;
        const auto value = unpack(*item.m_value, why);
        BOOST_REQUIRE_MESSAGE(value, why.m_text);
        known[item.m_key] = *value;
    }
}

std::string large_value(int seed)
{
    std::string out;
    for (int i = 0; i < 2'000; ++i) {
        out += "{\"prefix\":\"/" + std::to_string(i * 7919 + seed) + "/\",\"kind\":\"safe\"},";
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_follower_hears_the_newest_value_of_each_key)
{
    relay news(1'000);
    news.put({"a", 5, "1"});
    news.put({"b", 6, "1"});
    auto all = news.after(std::nullopt);
    BOOST_REQUIRE(all);
    view known;
    take(*all, known);
    BOOST_TEST((known == view{{"a", "1"}, {"b", "1"}}));

    news.put({"a", 7, "2"});
    news.put({"a", 8, "3"});
    news.remove("b", 9);
    news.put({"c", 10, "1"});
    const auto later = news.after(all->m_cursor);
    BOOST_REQUIRE(later);
    BOOST_TEST(later->m_items.size() == 3U);
    take(*later, known);
    BOOST_TEST((known == view{{"a", "3"}, {"c", "1"}}));
    BOOST_TEST(news.after(later->m_cursor)->m_items.empty());
}

BOOST_AUTO_TEST_CASE(a_removal_is_never_older_than_what_it_removes)
{
    relay news(1'000);
    news.put({"a", 50, "1"});
    const std::uint64_t cursor = news.cursor();
    news.remove("a", 40); // the follower's own revision lags within one answer
    BOOST_TEST(news.after(cursor)->m_items.at(0).m_revision == 50U);
    BOOST_TEST(news.after(std::nullopt)->m_items.empty());
    news.remove("a", 60); // twice
    news.remove("never", 60);
    BOOST_TEST(news.after(cursor)->m_items.size() == 1U);
    news.put({"a", 61, "back"});
    BOOST_TEST(news.after(std::nullopt)->m_items.size() == 1U);
}

BOOST_AUTO_TEST_CASE(cursors_of_another_start_are_forgotten)
{
    relay earlier(1'000);
    earlier.put({"a", 5, "1"});
    relay later(2'000);
    later.put({"a", 5, "1"});
    BOOST_TEST(!later.after(earlier.cursor()));
    BOOST_TEST(!earlier.after(later.cursor()));
}

// However long a node was away, it hears of each removal or is told to list again.
BOOST_AUTO_TEST_CASE(no_removal_is_missed_by_who_was_away)
{
    relay news(1'000);
    for (int i = 0; i < 2'000; ++i) {
        news.put({"k" + std::to_string(i), static_cast<std::uint64_t>(i) + 1, "1"});
    }
    const std::uint64_t cursor = news.cursor();
    view known;
    take(*news.after(std::nullopt), known);
    for (int i = 0; i < 1'000; ++i) {
        news.remove("k" + std::to_string(i), 3'000 + static_cast<std::uint64_t>(i));
        const auto changes = news.after(cursor);
        BOOST_TEST((!changes || changes->m_items.size() == static_cast<std::size_t>(i) + 1));
    }
    BOOST_TEST(!news.after(cursor));
    BOOST_TEST(news.after(std::nullopt)->m_items.size() == 1'000U);
}

BOOST_AUTO_TEST_CASE(who_waits_is_told_of_changes_and_of_lost_contact)
{
    relay news(1'000);
    int told = 0;
    news.m_on_change = [&] { ++told; };
    news.set_in_touch(true);
    news.set_in_touch(true);
    BOOST_TEST(told == 1);
    news.put({"a", 7, "1"});
    BOOST_TEST(told == 2);
    news.set_in_touch(false);
    BOOST_TEST(told == 3);
    BOOST_TEST(!news.in_touch());
}

// Revisions are the store's, and other parts of it change too: only those of the part's own
// changes tell whether one node knows more of it than another.
BOOST_AUTO_TEST_CASE(the_revision_is_that_of_the_newest_change_of_the_part)
{
    relay news(1'000);
    BOOST_TEST(news.after(std::nullopt)->m_revision == 0U);
    news.put({"a", 7, "1"});
    news.put({"b", 9, "1"});
    news.put({"a", 8, "2"});
    BOOST_TEST(news.after(std::nullopt)->m_revision == 9U);
    news.remove("b", 12);
    BOOST_TEST(news.after(std::nullopt)->m_revision == 12U);
}

BOOST_AUTO_TEST_CASE(large_values_are_packed_and_come_back_whole)
{
    for (const std::string& value : {std::string(), std::string("short"), std::string(1023, 'x'),
                                     std::string(1024, 'x'), large_value(1)}) {
        const packed_value packed = pack(value);
        reason why;
        const auto back = unpack(packed, why);
        BOOST_REQUIRE_MESSAGE(back, why.m_text);
        BOOST_TEST((*back == value));
        BOOST_TEST(packed.m_bytes.size() <= value.size());
    }
    // One relay serves 20 nodes over 7.7 Mbit/s within a second.
    BOOST_TEST(pack(large_value(2)).m_bytes.size() * 20 < 7'700'000 / 8);
}

BOOST_AUTO_TEST_CASE(damaged_packed_values_are_refused)
{
    const packed_value good = pack(large_value(3));
    reason why;
    packed_value bad = good;
    bad.m_bytes.resize(bad.m_bytes.size() / 2);
    BOOST_TEST(!unpack(bad, why));
    bad = good;
    bad.m_size -= 1;
    BOOST_TEST(!unpack(bad, why));
    bad = good;
    bad.m_size = max_value_bytes + 1;
    BOOST_TEST(!unpack(bad, why));
    BOOST_TEST((why.m_code == reason_code::too_large));
    bad = {"text", 5, false};
    BOOST_TEST(!unpack(bad, why));
    bad = {std::string(100, '\xff'), 5'000, true};
    BOOST_TEST(!unpack(bad, why));
}

BOOST_AUTO_TEST_CASE(changes_pass_as_cbor_and_others_are_refused)
{
    relay news(1'000);
    news.put({"a", 5, "1"});
    news.put({"b", 6, large_value(4)});
    const std::uint64_t cursor = news.cursor();
    news.remove("a", 7);
    for (const auto& changes : {*news.after(std::nullopt), *news.after(cursor)}) {
        const std::string bytes = encode(changes);
        reason why;
        const auto back = decode_changes(bytes, why);
        BOOST_REQUIRE_MESSAGE(back, why.m_text);
        BOOST_TEST((*back == changes));
        for (std::size_t cut = 0; cut < std::min<std::size_t>(bytes.size(), 64); ++cut) {
            BOOST_TEST(!decode_changes(std::string_view(bytes).substr(0, cut), why));
        }
    }
    reason why;
    for (const std::string_view bad : {"\x80", "\x83\x01\x02\x03", "\x83\x01\x02\xa0",
                                       "\x83\x01\x02\x81\x82\x01\x02", "\x83\x61\x61\x02\x80"}) {
        BOOST_TEST(!decode_changes(bad, why));
        BOOST_TEST((why.m_code == reason_code::malformed));
    }
}

} // namespace pomelohead::source
