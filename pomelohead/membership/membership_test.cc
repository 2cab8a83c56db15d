#include "pomelohead/membership/member_table.h"
#include "pomelohead/membership/overlay.h"
#include "pomelohead/membership/prober.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

namespace pomelohead::membership {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t own_epoch = 100;

member make_member(const std::string& address, std::uint64_t epoch, std::uint64_t refutations,
                   member_state state, const std::string& domain = "bala")
{
    return {.m_node = "node-" + address,
            .m_address = address,
            .m_failure_domain = domain,
            .m_region = "gwynedd",
            .m_incarnation = first_incarnation(epoch) + refutations,
            .m_state = state};
}

member_table make_table()
{
    return {make_member("10.0.0.1", own_epoch, 0, member_state::alive), {}};
}

std::vector<member> make_fleet(std::size_t count)
{
    std::vector<member> fleet;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string domains[] = {"a", "b", "c"};
        fleet.push_back(
            make_member("10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1), 1, 0,
                        member_state::alive, domains[i % 3]));
    }
    return fleet;
}

std::vector<const member*> others(const std::vector<member>& fleet, std::size_t self)
{
    std::vector<const member*> result;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != self) {
            result.push_back(&fleet[i]);
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(later_update_replaces_earlier_one)
{
    struct member_status {
        std::uint64_t m_epoch;
        std::uint64_t m_refutations;
        member_state m_state;
    };
    struct merge_case {
        const char* m_name;
        member_status m_known;
        member_status m_received;
        bool m_replaces;
    };
    using enum member_state;
    const merge_case cases[] = {
        {"the same", {5, 0, alive}, {5, 0, alive}, false},
        {"suspicion", {5, 0, alive}, {5, 0, suspect}, true},
        {"alive does not override a suspicion in the same incarnation",
         {5, 0, suspect},
         {5, 0, alive},
         false},
        {"a refutation overrides a suspicion", {5, 0, suspect}, {5, 1, alive}, true},
        {"dead after suspect", {5, 0, suspect}, {5, 0, dead}, true},
        {"suspicion of an earlier incarnation after a refutation",
         {5, 1, alive},
         {5, 0, suspect},
         false},
        {"leaving", {5, 0, alive}, {5, 0, leaving}, true},
        {"leaving overrides a suspicion", {5, 0, suspect}, {5, 0, leaving}, true},
        {"dead after leaving", {5, 0, leaving}, {5, 0, dead}, true},
        {"a restart after dead", {5, 0, dead}, {6, 0, alive}, true},
        {"update about the previous process after a restart", {6, 0, alive}, {5, 9, dead}, false},
        {"refutation of dead", {5, 0, dead}, {5, 1, alive}, true},
    };
    for (const merge_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            member_table table = make_table();
            const member known = make_member("10.0.0.2", c.m_known.m_epoch, c.m_known.m_refutations,
                                             c.m_known.m_state);
            const member received = make_member("10.0.0.2", c.m_received.m_epoch,
                                                c.m_received.m_refutations, c.m_received.m_state);
            table.merge(known, {});
            const merge_result result = table.merge(received, {});
            BOOST_TEST((result == (c.m_replaces ? merge_result::changed : merge_result::ignored)));
            BOOST_TEST((*table.find("10.0.0.2") == (c.m_replaces ? received : known)));
        }
    }
}

BOOST_AUTO_TEST_CASE(merge_result_does_not_depend_on_update_order)
{
    std::vector<member> updates;
    for (std::uint64_t epoch = 1; epoch <= 2; ++epoch) {
        for (const member_state state : {member_state::alive, member_state::suspect,
                                         member_state::leaving, member_state::dead}) {
            updates.push_back(make_member("10.0.0.2", epoch, 0, state));
        }
    }
    std::mt19937_64 random(1);
    for (int round = 0; round < 500; ++round) {
        std::ranges::shuffle(updates, random);
        member_table table = make_table();
        for (const member& update : updates) {
            table.merge(update, {});
        }
        BOOST_TEST((*table.find("10.0.0.2") == make_member("10.0.0.2", 2, 0, member_state::dead)));
    }
}

BOOST_AUTO_TEST_CASE(updates_about_this_node_are_refuted_or_supersede_it)
{
    struct self_case {
        const char* m_name;
        std::uint64_t m_epoch;
        member_state m_state;
        bool m_unconfirmed;
        merge_result m_result;
    };
    using enum member_state;
    const self_case cases[] = {
        {"the current state", own_epoch, alive, false, merge_result::ignored},
        {"suspicion is refuted", own_epoch, suspect, false, merge_result::refuted},
        {"dead is refuted", own_epoch, dead, false, merge_result::refuted},
        {"dead update about an earlier process", own_epoch - 1, dead, false, merge_result::ignored},
        {"alive update about an earlier process", own_epoch - 1, alive, false,
         merge_result::ignored},
        {"dead update with a later epoch", own_epoch + 5, dead, false, merge_result::refuted},
        {"dead update with a later epoch, after a freeze", own_epoch + 5, dead, true,
         merge_result::refuted},
        {"a starting process takes an epoch above the known alive one", own_epoch + 5, alive, false,
         merge_result::refuted},
        {"a process that was frozen is superseded by its successor", own_epoch + 5, alive, true,
         merge_result::superseded},
    };
    for (const self_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            member_table table = make_table();
            const member received = make_member("10.0.0.1", c.m_epoch, 0, c.m_state);
            BOOST_TEST((table.merge(received, {}, c.m_unconfirmed) == c.m_result));
            if (c.m_result == merge_result::refuted) {
                BOOST_TEST(table.self().m_incarnation > received.m_incarnation);
            }
            else {
                BOOST_TEST(table.self().m_incarnation == first_incarnation(own_epoch));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(suspect_is_declared_dead_after_timeout_unless_it_refutes)
{
    const member_table_options options;
    member_table table = make_table();
    const time_point start{};
    table.merge(make_member("10.0.0.2", 1, 0, member_state::alive), start);
    table.merge(make_member("10.0.0.3", 1, 0, member_state::alive), start);
    table.suspect("10.0.0.2", start);
    table.suspect("10.0.0.3", start);
    table.merge(make_member("10.0.0.3", 1, 1, member_state::alive), start + 1s);
    table.expire(start + options.m_suspicion_timeout - 1ms);
    BOOST_TEST((table.find("10.0.0.2")->m_state == member_state::suspect));
    table.expire(start + options.m_suspicion_timeout);
    BOOST_TEST((table.find("10.0.0.2")->m_state == member_state::dead));
    BOOST_TEST((table.find("10.0.0.3")->m_state == member_state::alive));
    table.expire(start + options.m_suspicion_timeout + options.m_dead_retention);
    BOOST_TEST(table.find("10.0.0.2") == nullptr);
}

BOOST_AUTO_TEST_CASE(message_of_an_earlier_process_does_not_update_its_successor)
{
    member_table table = make_table();
    table.merge(make_member("10.0.0.2", 6, 0, member_state::alive), {});
    BOOST_TEST(!table.record_direct_message("10.0.0.2", first_incarnation(5) + 3, true, 9, {}));
    BOOST_TEST((table.find("10.0.0.2")->m_state == member_state::alive));
    BOOST_TEST(table.find("10.0.0.2")->m_version == 0U);
    BOOST_TEST(table.record_direct_message("10.0.0.2", first_incarnation(6), true, 9, {}));
    BOOST_TEST((table.find("10.0.0.2")->m_state == member_state::leaving));
    BOOST_TEST(table.find("10.0.0.2")->m_version == 9U);
}

BOOST_AUTO_TEST_CASE(each_update_is_sent_a_bounded_number_of_times)
{
    member_table table = make_table();
    constexpr int members = 100;
    for (int i = 0; i < members; ++i) {
        table.merge(make_member("10.0.1." + std::to_string(i), 1, 0, member_state::alive), {});
    }
    std::map<std::string, int> sent;
    int messages = 0;
    constexpr std::size_t limit = 8;
    for (;; ++messages) {
        const std::vector<member> updates = table.take_updates(limit);
        if (updates.empty()) {
            break;
        }
        BOOST_TEST(updates.size() <= limit);
        for (const member& update : updates) {
            ++sent[update.m_address];
        }
    }
    BOOST_TEST(sent.size() == static_cast<std::size_t>(members));
    constexpr int sends_for_100 = 3 * 7; // three for each doubling
    for (const auto& [address, times] : sent) {
        BOOST_TEST(times == sends_for_100);
    }
}

BOOST_AUTO_TEST_CASE(each_member_is_probed_at_any_fleet_size)
{
    for (const std::size_t size : {2UL, 3UL, 10UL, 100UL, 500UL}) {
        const std::vector<member> fleet = make_fleet(size);
        std::map<std::string, int> probed;
        for (std::size_t i = 0; i < size; ++i) {
            const neighbours found = find_neighbours(fleet[i], others(fleet, i));
            BOOST_TEST(found.m_successors.size() <= ring_count);
            BOOST_TEST(found.m_all.size() <= 2 * ring_count);
            for (const std::string& address : found.m_successors) {
                BOOST_TEST(address != fleet[i].m_address);
                ++probed[address];
            }
        }
        BOOST_TEST(probed.size() == size);
    }
}

BOOST_AUTO_TEST_CASE(updates_reach_500_members_within_8_hops)
{
    const std::vector<member> fleet = make_fleet(500);
    std::map<std::string, std::vector<std::string>> links;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        links[fleet[i].m_address] = find_neighbours(fleet[i], others(fleet, i)).m_all;
    }
    std::set<std::string> reached{fleet[0].m_address};
    int hops = 0;
    constexpr int max_hops = 8;
    while (reached.size() < fleet.size() && hops <= max_hops) {
        ++hops;
        for (const std::string& from : std::set<std::string>(reached)) {
            reached.insert(links[from].begin(), links[from].end());
        }
    }
    BOOST_TEST(reached.size() == fleet.size());
    BOOST_TEST(hops <= max_hops);
}

BOOST_AUTO_TEST_CASE(partitioned_failure_domain_stays_connected)
{
    const std::vector<member> fleet = make_fleet(90);
    std::set<std::string> reached{fleet[0].m_address}; // domain "a"
    for (std::size_t round = 0; round < fleet.size(); ++round) {
        for (std::size_t i = 0; i < fleet.size(); i += 3) {
            if (reached.contains(fleet[i].m_address)) {
                for (const std::string& to : find_neighbours(fleet[i], others(fleet, i)).m_all) {
                    const bool inside = std::ranges::any_of(fleet, [&](const member& item) {
                        return item.m_address == to && item.m_failure_domain == "a";
                    });
                    if (inside) {
                        reached.insert(to);
                    }
                }
            }
        }
    }
    BOOST_TEST(reached.size() == 30U);
}

BOOST_AUTO_TEST_CASE(losing_a_watcher_replaces_only_that_watcher)
{
    constexpr std::size_t count = 2;
    std::vector<member> fleet = make_fleet(90);
    const auto watchers = [&] {
        std::set<std::string> result;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fleet[i].m_state == member_state::alive &&
                is_watcher(fleet[i], others(fleet, i), count)) {
                result.insert(fleet[i].m_address);
            }
        }
        return result;
    };
    const std::set<std::string> before = watchers();
    BOOST_TEST(before.size() == 3 * count);
    for (const member_state gone :
         {member_state::dead, member_state::suspect, member_state::leaving}) {
        for (member& item : fleet) {
            if (item.m_address != *before.begin()) {
                continue;
            }
            item.m_state = gone;
            const std::set<std::string> after = watchers();
            BOOST_TEST(after.size() == 3 * count);
            std::vector<std::string> kept;
            std::ranges::set_intersection(before, after, std::back_inserter(kept));
            BOOST_TEST(kept.size() == 3 * count - 1);
            item.m_state = member_state::alive;
        }
    }
}

BOOST_AUTO_TEST_CASE(probe_fails_only_after_indirect_probe_fails)
{
    struct probe_case {
        const char* m_name;
        duration m_answer_after; // negative: never
        bool m_refused;
        bool m_via_others;
        bool m_failed;
    };
    const probe_case cases[] = {
        {"direct answer", 100ms, false, false, false},
        {"indirect answer", 1500ms, false, true, false},
        {"no answer", -1ms, false, true, true},
        {"connection refused, indirect answer", 200ms, true, true, false},
        {"connection refused, no indirect answer", -1ms, true, true, true},
    };
    for (const probe_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            bool via_others = false;
            bool failed = false;
            std::uint64_t last = 0;
            prober probes(
                {},
                {.m_ping = [&](const std::string&, std::uint64_t sequence) { last = sequence; },
                 .m_ping_indirect = [&](const std::string&, std::uint64_t) { via_others = true; },
                 .m_failed = [&](const std::string&, time_point) { failed = true; }});
            const time_point start{};
            const std::uint64_t sequence = probes.probe("10.0.0.2", start);
            BOOST_TEST(sequence == last);
            if (c.m_refused) {
                probes.connection_failed("10.0.0.2", start);
            }
            for (duration passed = 0ms; passed <= 5s; passed += 50ms) {
                if (c.m_answer_after >= 0ms && passed >= c.m_answer_after) {
                    probes.answered(sequence);
                }
                probes.tick(start + passed, {});
            }
            BOOST_TEST(via_others == c.m_via_others);
            BOOST_TEST(failed == c.m_failed);
        }
    }
}

BOOST_AUTO_TEST_CASE(prober_pings_targets_round_robin_at_a_constant_rate)
{
    std::map<std::string, int> pings;
    std::uint64_t last = 0;
    prober probes({}, {.m_ping =
                           [&](const std::string& address, std::uint64_t sequence) {
                               ++pings[address];
                               last = sequence;
                           },
                       .m_ping_indirect = [](const std::string&, std::uint64_t) {},
                       .m_failed = [](const std::string&, time_point) {}});
    for (duration passed = 0s; passed < 30s; passed += 200ms) {
        probes.tick(time_point{} + passed, {"a", "b", "c"});
        probes.answered(last);
    }
    BOOST_TEST(pings["a"] == 10);
    BOOST_TEST(pings["b"] == 10);
    BOOST_TEST(pings["c"] == 10);
}

} // namespace pomelohead::membership
