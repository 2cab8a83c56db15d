// Changes that followers of a relay get, and validation of its messages and packed values.
#include "pomelohead/source/relay.h"

#include "pomelohead/source/relay_codec.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::source {
namespace {

using key_values = std::map<std::string, std::string>;

// Applies changes as a follower does.
void apply_changes(const relayed_changes& changes, key_values& applied)
{
    for (const relayed_item& item : changes.m_items) {
        if (!item.m_value) {
            applied.erase(item.m_key);
            continue;
        }
        reason why;
        const auto value = unpack(*item.m_value, why);
        BOOST_REQUIRE_MESSAGE(value, why.m_text);
        applied[item.m_key] = *value;
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

BOOST_AUTO_TEST_CASE(changes_hold_only_the_newest_value_of_each_key)
{
    relay feed(1'000);
    feed.put({"a", {1, 5}, "1"});
    feed.put({"b", {1, 6}, "1"});
    const relayed_changes all = feed.list({});
    key_values applied;
    apply_changes(all, applied);
    BOOST_TEST((applied == key_values{{"a", "1"}, {"b", "1"}}));

    feed.put({"a", {1, 7}, "2"});
    feed.put({"a", {1, 8}, "3"});
    feed.remove("b", {1, 9});
    feed.put({"c", {1, 10}, "1"});
    const auto later = feed.changes_after(all.m_cursor);
    BOOST_REQUIRE(later);
    BOOST_TEST(later->m_items.size() == 3U);
    apply_changes(*later, applied);
    BOOST_TEST((applied == key_values{{"a", "3"}, {"c", "1"}}));
    BOOST_TEST(feed.changes_after(later->m_cursor)->m_items.empty());
}

// A follower that changes to another relay must not fetch again what it has.
BOOST_AUTO_TEST_CASE(a_list_omits_the_values_that_the_follower_knows)
{
    relay feed(1'000);
    feed.put({"a", {1, 5}, "1"});
    feed.put({"b", {1, 7}, "1"});
    feed.put({"c", {1, 6}, "1"});
    feed.remove("c", {1, 8});
    feed.set_complete_revision({1, 9});
    const relayed_changes part = feed.list({1, 5});
    BOOST_TEST((part.m_unchanged == std::vector<key_revision>{{"a", {1, 5}, {}}}));
    BOOST_TEST(part.m_items.size() == 1U);
    BOOST_TEST(part.m_items.at(0).m_key == "b");
    BOOST_TEST((part.m_complete_revision == store_revision{1, 9}));
    BOOST_TEST(feed.list({}).m_items.size() == 2U);
    BOOST_TEST(feed.list({1, 9}).m_items.empty());
}

// A configuration is large, and after a restore all followers of a relay list at the same time.
BOOST_AUTO_TEST_CASE(values_that_a_restored_store_still_has_are_not_sent_again)
{
    relay feed(1'000);
    feed.put({"same", {1, 5}, large_value(1)});
    feed.put({"other", {1, 6}, "1"});
    feed.put({"packed", {1, 7}, large_value(2)});
    BOOST_TEST(feed.list({}).m_items.size() == 3U); // packs the values
    const relay_cursor cursor = feed.cursor();
    feed.put({"same", {2, 5}, large_value(1)});
    feed.put({"other", {2, 6}, "2"});
    feed.put({"packed", {2, 7}, large_value(2)});
    const auto changes = feed.changes_after(cursor);
    BOOST_REQUIRE(changes);
    BOOST_TEST(changes->m_items.size() == 1U);
    BOOST_TEST(changes->m_items.at(0).m_key == "other");
    BOOST_TEST((changes->m_revision == store_revision{2, 7}));
    const relayed_changes for_old = feed.list({1, 20});
    BOOST_TEST(for_old.m_items.size() == 1U);
    BOOST_TEST((for_old.m_unchanged ==
                std::vector<key_revision>{{"packed", {2, 7}, {1, 7}}, {"same", {2, 5}, {1, 5}}}));
    BOOST_TEST(feed.list({1, 6}).m_items.size() == 2U); // knows "same" only
    reason why;
    BOOST_TEST((decode_changes(encode(for_old), why) == for_old));
    // Within an epoch each change counts, also one to an equal value.
    feed.put({"same", {2, 9}, large_value(1)});
    BOOST_TEST(feed.list({2, 8}).m_items.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_removal_keeps_the_revision_of_a_newer_value)
{
    relay feed(1'000);
    feed.put({"a", {1, 50}, "1"});
    const relay_cursor cursor = feed.cursor();
    feed.remove("a", {1, 40}); // the follower's revision lags until one answer is processed
    BOOST_TEST((feed.changes_after(cursor)->m_items.at(0).m_revision == store_revision{1, 50}));
    BOOST_TEST(feed.list({}).m_items.empty());
    feed.remove("a", {1, 60}); // already removed
    feed.remove("never", {1, 60});
    BOOST_TEST(feed.changes_after(cursor)->m_items.size() == 1U);
    feed.put({"a", {1, 61}, "back"});
    BOOST_TEST(feed.list({}).m_items.size() == 1U);
}

BOOST_AUTO_TEST_CASE(cursors_of_another_start_are_rejected)
{
    relay earlier(1'000);
    earlier.put({"a", {1, 5}, "1"});
    relay later(2'000);
    later.put({"a", {1, 5}, "1"});
    BOOST_TEST(!later.changes_after(earlier.cursor()));
    BOOST_TEST(!earlier.changes_after(later.cursor()));
}

// The clock that tells the starts of a host apart may have been set back in between, so that the
// changes of both starts could have the same numbers.
BOOST_AUTO_TEST_CASE(cursors_of_a_start_with_a_later_clock_are_rejected)
{
    relay earlier(1'000);
    earlier.put({"a", {1, 5}, "1"});
    earlier.put({"b", {1, 6}, "1"});
    relay later(998);
    for (std::uint64_t i = 0; i < 10; ++i) {
        later.put({"k" + std::to_string(i), {1, 7 + i}, "1"});
    }
    BOOST_TEST(!later.changes_after(earlier.cursor()));
}

// A node that was away too long must not miss a removal: it gets each one, or no answer,
// so that it lists again.
BOOST_AUTO_TEST_CASE(a_lagging_follower_gets_every_removal_or_no_answer)
{
    relay feed(1'000);
    for (int i = 0; i < 2'000; ++i) {
        feed.put({"k" + std::to_string(i), {1, static_cast<std::uint64_t>(i) + 1}, "1"});
    }
    const relay_cursor cursor = feed.cursor();
    key_values applied;
    apply_changes(feed.list({}), applied);
    for (int i = 0; i < 1'000; ++i) {
        feed.remove("k" + std::to_string(i), {1, 3'000 + static_cast<std::uint64_t>(i)});
        const auto changes = feed.changes_after(cursor);
        BOOST_TEST((!changes || changes->m_items.size() == static_cast<std::size_t>(i) + 1));
    }
    BOOST_TEST(!feed.changes_after(cursor));
    BOOST_TEST(feed.list({}).m_items.size() == 1'000U);
}

BOOST_AUTO_TEST_CASE(changes_and_contact_transitions_call_on_change)
{
    relay feed(1'000);
    int notifications = 0;
    feed.m_on_change = [&] { ++notifications; };
    feed.set_feed(relay_feed::store);
    feed.set_feed(relay_feed::store);
    BOOST_TEST(notifications == 1);
    feed.put({"a", {1, 7}, "1"});
    BOOST_TEST(notifications == 2);
    feed.set_feed(relay_feed::none);
    BOOST_TEST(notifications == 3);
    BOOST_TEST((feed.feed() == relay_feed::none));
}

// Changes to other parts advance the store's revision too, so only the revision of the
// part's own newest change shows which of two nodes is ahead on that part.
BOOST_AUTO_TEST_CASE(the_revision_is_that_of_the_newest_change)
{
    relay feed(1'000);
    BOOST_TEST((feed.list({}).m_revision == store_revision{}));
    feed.put({"a", {1, 7}, "1"});
    feed.put({"b", {1, 9}, "1"});
    feed.put({"a", {1, 8}, "2"});
    BOOST_TEST((feed.list({}).m_revision == store_revision{1, 9}));
    feed.remove("b", {1, 12});
    BOOST_TEST((feed.list({}).m_revision == store_revision{1, 12}));
}

BOOST_AUTO_TEST_CASE(packed_values_unpack_to_the_original_value)
{
    for (const std::string& value : {std::string(), std::string("short"), std::string(1023, 'x'),
                                     std::string(1024, 'x'), large_value(1)}) {
        const packed_value packed = pack(value);
        reason why;
        const auto unpacked = unpack(packed, why);
        BOOST_REQUIRE_MESSAGE(unpacked, why.m_text);
        BOOST_TEST((*unpacked == value));
        BOOST_TEST(packed.m_bytes.size() <= value.size());
    }
    // One relay must serve 20 nodes over 7.7 Mbit/s within a second.
    BOOST_TEST(pack(large_value(2)).m_bytes.size() * 20 < 7'700'000 / 8);
}

BOOST_AUTO_TEST_CASE(damaged_packed_values_are_rejected)
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
    bad.m_size = max_unpacked_bytes + 1;
    BOOST_TEST(!unpack(bad, why));
    BOOST_TEST((why.m_code == reason_code::too_large));
    bad = {"text", 5, false};
    BOOST_TEST(!unpack(bad, why));
    bad = {std::string(100, '\xff'), 5'000, true};
    BOOST_TEST(!unpack(bad, why));
}

BOOST_AUTO_TEST_CASE(encoded_changes_decode_and_malformed_input_is_rejected)
{
    relay feed(1'000);
    feed.put({"a", {1, 5}, "1"});
    feed.put({"b", {1, 6}, large_value(4)});
    const relay_cursor cursor = feed.cursor();
    feed.remove("a", {1, 7});
    feed.set_complete_revision({1, 9});
    relayed_changes with_relays = feed.list({1, 5});
    with_relays.m_relays = {"10.1.0.4", "10.1.0.5"};
    for (const auto& changes : {feed.list({}), *feed.changes_after(cursor), with_relays}) {
        const std::string bytes = encode(changes);
        reason why;
        const auto decoded = decode_changes(bytes, why);
        BOOST_REQUIRE_MESSAGE(decoded, why.m_text);
        BOOST_TEST((*decoded == changes));
        for (std::size_t cut = 0; cut < std::min<std::size_t>(bytes.size(), 64); ++cut) {
            BOOST_TEST(!decode_changes(std::string_view(bytes).substr(0, cut), why));
        }
    }
    reason why;
    using namespace std::string_view_literals;
    for (const std::string_view bad :
         {"\x04\x80\x80"sv, "\xa0\x80\x80"sv, "\x81\x82\x01\x82\x01\x02\x80\x80"sv,
          "\x81\x82\x61\x61\x02\x80\x80"sv, "\x80\x81\x01\x80"sv,
          "\x80\x81\x82\x61\x61\x82\x01\x02\x80"sv, "\x80\x80\x81\x01"sv}) {
        const std::string with_revisions =
            "\x86\x82\x09\x01\x82\x01\x02\x82\x01\x03" + std::string(bad);
        BOOST_TEST(!decode_changes(with_revisions, why));
        BOOST_TEST((why.m_code == reason_code::malformed));
    }
    for (const std::string_view bad : {"\x86\x82\x09\x61\x61\x82\x01\x02\x82\x01\x03\x80\x80\x80"sv,
                                       "\x86\x82\x09\x01\x02\x82\x01\x03\x80\x80\x80"sv,
                                       "\x86\x01\x82\x01\x02\x82\x01\x03\x80\x80\x80"sv,
                                       "\x86\x82\x09\x01\x81\x02\x82\x01\x03\x80\x80\x80"sv,
                                       "\x86\x82\x09\x01\x82\x01\x02\x82\x20\x03\x80\x80\x80"sv}) {
        BOOST_TEST(!decode_changes(bad, why));
        BOOST_TEST((why.m_code == reason_code::malformed));
    }
    for (const std::string_view bad : {"\x80", "\x83\x01\x02\x03", "\x83\x01\x02\xa0",
                                       "\x83\x01\x02\x81\x82\x01\x02", "\x83\x61\x61\x02\x80"}) {
        BOOST_TEST(!decode_changes(bad, why));
        BOOST_TEST((why.m_code == reason_code::malformed));
    }
}

} // namespace pomelohead::source
