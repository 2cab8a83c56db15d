// Tests the snapshots after valid, invalid, stale and removed values in various orders.
#include "pomelohead/discovery/snapshot_builder.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

namespace pomelohead::discovery {
namespace {

config::snapshot make_configuration(std::uint64_t version, std::string service = "rota")
{
    config::snapshot out;
    out.m_version = version;
    config::service one;
    one.m_name = "rota";
    one.m_max_connections = 110;
    out.m_services.push_back(one);
    config::route route;
    route.m_name = "r";
    route.m_account = "*";
    route.m_method = "*";
    route.m_path_prefix = "/a/";
    route.m_service = std::move(service);
    route.m_deadline = milliseconds(800);
    out.m_routes.push_back(route);
    return out;
}

instance make_instance(std::string id, std::int64_t started = 100, std::string host = "10.0.0.1")
{
    instance out;
    out.m_id = std::move(id);
    out.m_service = "rota";
    out.m_failure_domain = "bala";
    out.m_host = std::move(host);
    out.m_port = 8000;
    out.m_slots = 9;
    out.m_started_ms = started;
    out.m_sequence = 5;
    return out;
}

// A snapshot_builder whose decoder looks up decoded values by name.
struct builder_fixture {
    builder_fixture()
        : m_snapshot_builder(
              [this](const source::key_change& change,
                     reason& why) -> std::optional<decoded_value> {
                  const auto it = m_values.find(*change.m_value);
                  if (it == m_values.end()) {
                      why = {reason_code::malformed, "not readable"};
                      return std::nullopt;
                  }
                  return it->second;
              },
              [this](const config::snapshot_ptr&) { ++m_snapshots; })
    {
    }

    void put(const std::string& key, decoded_value value)
    {
        const std::string name = std::to_string(m_values.size());
        m_values.emplace(name, std::move(value));
        m_snapshot_builder.put({key, {m_epoch, ++m_revision}, name});
        m_snapshot_builder.publish();
    }

    void put_unreadable(const std::string& key)
    {
        m_snapshot_builder.put({key, {m_epoch, ++m_revision}, "?"});
        m_snapshot_builder.publish();
    }

    void remove(const std::string& key)
    {
        m_snapshot_builder.remove(key, {m_epoch, ++m_revision});
        m_snapshot_builder.publish();
    }

    // The store goes back to a copy that has all that was put until now.
    void restore() { ++m_epoch; }

    [[nodiscard]] std::vector<std::string> targets() const
    {
        std::vector<std::string> names;
        for (const config::target& item :
             m_snapshot_builder.current()->m_services.at(0).m_targets) {
            names.push_back(item.m_name);
        }
        return names;
    }

    std::map<std::string, decoded_value> m_values;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_revision = 0;
    int m_snapshots = 0;
    snapshot_builder m_snapshot_builder;
};

using names = std::vector<std::string>;

BOOST_AUTO_TEST_CASE(no_snapshot_before_the_first_configuration)
{
    builder_fixture d;
    d.put("targets/i-1", make_instance("i-1"));
    BOOST_TEST(d.m_snapshot_builder.current() == nullptr);
    d.put("configuration", make_configuration(4));
    BOOST_TEST(d.m_snapshot_builder.current()->m_version == 4U);
    BOOST_TEST((d.targets() == names{"i-1"}));
    BOOST_TEST(d.m_snapshot_builder.current()->m_services[0].m_targets[0].m_connections == 110U);
}

BOOST_AUTO_TEST_CASE(version_in_force_never_decreases)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    d.put("configuration", make_configuration(3));
    BOOST_TEST(d.m_snapshot_builder.current()->m_version == 4U);
    BOOST_TEST((d.m_snapshot_builder.last_refusal().m_code == reason_code::stale));
    config::snapshot other = make_configuration(4);
    other.m_routes[0].m_path_prefix = "/b/";
    d.put("configuration", other);
    BOOST_TEST(d.m_snapshot_builder.current()->m_routes[0].m_path_prefix == "/a/");
    BOOST_TEST((d.m_snapshot_builder.last_refusal().m_code == reason_code::conflict));
    d.put("configuration", make_configuration(9));
    BOOST_TEST(d.m_snapshot_builder.current()->m_version == 9U);
}

// Operators whose latest version a restore has lost may give its number to another content. What
// the store has now must win on all nodes, or they would differ for good.
BOOST_AUTO_TEST_CASE(version_given_out_again_by_a_restored_store_replaces_the_lost_one)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    d.restore();
    d.put("configuration", make_configuration(3)); // the copy's, until version 4 is written again
    BOOST_TEST(d.m_snapshot_builder.current()->m_version == 4U);
    config::snapshot other = make_configuration(4);
    other.m_routes[0].m_path_prefix = "/b/";
    d.put("configuration", other);
    BOOST_TEST(d.m_snapshot_builder.current()->m_routes[0].m_path_prefix == "/b/");
    other.m_routes[0].m_path_prefix = "/c/";
    d.put("configuration", other);
    BOOST_TEST(d.m_snapshot_builder.current()->m_routes[0].m_path_prefix == "/b/");
    BOOST_TEST((d.m_snapshot_builder.last_refusal().m_code == reason_code::conflict));
    d.restore();
    d.put("configuration", make_configuration(4, "unknown"));
    BOOST_TEST(d.m_snapshot_builder.current()->m_routes[0].m_path_prefix == "/b/");
    BOOST_TEST((d.m_snapshot_builder.last_refusal().m_code == reason_code::invalid));
}

BOOST_AUTO_TEST_CASE(invalid_configuration_is_rejected_completely)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    d.put("configuration", make_configuration(5, "unknown"));
    BOOST_TEST(d.m_snapshot_builder.current()->m_version == 4U);
    BOOST_TEST((d.m_snapshot_builder.last_refusal().m_code == reason_code::invalid));
}

BOOST_AUTO_TEST_CASE(implausible_warm_up_is_rejected_with_its_field)
{
    struct fault_case {
        milliseconds m_time;
        double m_rate;
        const char* m_field;
    };
    const fault_case cases[] = {{milliseconds(-1), 1, "warm_up_time"},
                                {milliseconds(3'600'001), 1, "warm_up_time"},
                                {milliseconds(1), -0.5, "warm_up_rate"},
                                {milliseconds(1), 1'000'001, "warm_up_rate"},
                                {milliseconds(1), std::nan(""), "warm_up_rate"}};
    for (const fault_case& c : cases) {
        builder_fixture d;
        d.put("configuration", make_configuration(4));
        config::snapshot faulty = make_configuration(5);
        faulty.m_services[0].m_warm_up_time = c.m_time;
        faulty.m_services[0].m_warm_up_rate = c.m_rate;
        d.put("configuration", faulty);
        BOOST_TEST(d.m_snapshot_builder.current()->m_version == 4U);
        const std::string& text = d.m_snapshot_builder.last_refusal().m_text;
        BOOST_TEST(text.find(c.m_field) != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(configuration_stays_in_force_when_its_key_is_removed)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    d.remove("configuration");
    BOOST_TEST(d.m_snapshot_builder.current()->m_version == 4U);
}

BOOST_AUTO_TEST_CASE(draining_target_stays_with_a_drain_rule)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    d.put("targets/i-1", make_instance("i-1"));
    instance draining = make_instance("i-1");
    draining.m_draining = true;
    ++draining.m_sequence;
    d.put("targets/i-1", draining);
    BOOST_TEST((d.targets() == names{"i-1"}));
    BOOST_TEST(d.m_snapshot_builder.current()->is_draining("i-1"));
    d.remove("targets/i-1");
    BOOST_TEST(d.targets().empty());
}

// Guards against a target that starts again with its clock set back: its registration, and that it
// drains, were rejected as older, so that it got requests until it ended. Only after a restore may
// a registration be an earlier one, of which start and heartbeat tell.
BOOST_AUTO_TEST_CASE(later_revision_decides_within_an_epoch_and_start_or_heartbeat_across_them)
{
    struct registration_case {
        const char* m_name;
        std::int64_t m_started;
        std::uint64_t m_sequence;
        bool m_is_earlier;
    };
    // In force is start 200, sequence 5.
    const registration_case cases[] = {
        {"a start with the clock set back", 100, 1, true},
        {"the same, with more heartbeats", 100, 99, true},
        {"an earlier heartbeat", 200, 4, true},
        {"the same heartbeat", 200, 5, false},
        {"a later heartbeat", 200, 6, false},
        {"a later start", 300, 1, false},
    };
    for (const registration_case& c : cases) {
        for (const bool is_restored : {false, true}) {
            BOOST_TEST_CONTEXT(c.m_name << (is_restored ? ", after a restore" : ""))
            {
                builder_fixture d;
                d.put("configuration", make_configuration(4));
                d.put("targets/i-1", make_instance("i-1", 200));
                if (is_restored) {
                    d.restore();
                }
                instance received = make_instance("i-1", c.m_started);
                received.m_sequence = c.m_sequence;
                d.put("targets/i-1", received);
                const bool is_rejected = c.m_is_earlier && is_restored;
                BOOST_TEST((d.m_snapshot_builder.last_refusal().m_code == reason_code::stale) ==
                           is_rejected);
                ++received.m_sequence;
                received.m_draining = true;
                d.put("targets/i-1", received);
                const bool still_rejected = is_rejected && received.m_sequence != 5;
                BOOST_TEST(d.m_snapshot_builder.current()->is_draining("i-1") != still_rejected);
            }
        }
    }
}

// After a power failure of all hosts, targets restart with new ids at their old addresses before
// their old registrations have expired.
BOOST_AUTO_TEST_CASE(latest_start_at_an_address_is_used)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    d.put("targets/old", make_instance("old", 100));
    d.put("targets/new", make_instance("new", 200));
    BOOST_TEST((d.targets() == names{"new"}));
    d.put("targets/elsewhere", make_instance("elsewhere", 300, "10.0.0.2"));
    BOOST_TEST((d.targets() == names{"elsewhere", "new"}));
    d.remove("targets/new");
    BOOST_TEST((d.targets() == names{"elsewhere", "old"}));
}

BOOST_AUTO_TEST_CASE(unreadable_value_removes_only_its_own_target)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    d.put("targets/i-1", make_instance("i-1"));
    d.put("targets/i-2", make_instance("i-2", 100, "10.0.0.2"));
    d.put_unreadable("targets/i-2");
    d.put_unreadable("targets/i-3");
    d.put_unreadable("configuration");
    BOOST_TEST((d.targets() == names{"i-1"}));
}

// The copy that a store is restored from may hold targets that have left since, and that end a
// while after they have left.
BOOST_AUTO_TEST_CASE(target_that_has_left_is_not_used_when_a_restored_store_names_it_again)
{
    struct return_case {
        const char* m_name;
        int m_restores;
        std::int64_t m_started;
        std::uint64_t m_sequence;
        bool m_is_used;
    };
    // The target has left with start 100 and sequence 5.
    const return_case cases[] = {
        {"the registration that it left with", 1, 100, 5, false},
        {"an earlier one", 1, 100, 3, false},
        {"of an earlier start", 1, 90, 50, false},
        {"after two restores", 2, 100, 5, false},
        {"registered again after the restore", 1, 100, 6, true},
        {"started again", 1, 110, 1, true},
        {"registered again without a restore", 0, 100, 5, true},
    };
    for (const return_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            builder_fixture d;
            d.put("configuration", make_configuration(4));
            d.put("targets/i-1", make_instance("i-1"));
            d.remove("targets/i-1");
            for (int i = 0; i < c.m_restores; ++i) {
                d.restore();
            }
            instance back = make_instance("i-1", c.m_started);
            back.m_sequence = c.m_sequence;
            d.put("targets/i-1", back);
            BOOST_TEST((d.targets() == (c.m_is_used ? names{"i-1"} : names{})));
            back.m_sequence += 10;
            d.put("targets/i-1", back);
            BOOST_TEST((d.targets() == (c.m_started < 100 ? names{} : names{"i-1"})));
        }
    }
}

BOOST_AUTO_TEST_CASE(target_of_unknown_service_is_not_used)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    instance other = make_instance("i-1");
    other.m_service = "cofrestr";
    d.put("targets/i-1", other);
    BOOST_TEST(d.targets().empty());
}

// Guards against a target that is out of use because another writer has registered its address or
// its key, with a later start, under a service that the configuration does not name.
BOOST_AUTO_TEST_CASE(registration_under_an_unknown_service_takes_no_target_out_of_use)
{
    struct foreign_case {
        const char* m_name;
        const char* m_key;
        const char* m_host;
        bool m_is_first;
        bool m_is_removed;
    };
    const foreign_case cases[] = {
        {"the target's address, before it", "targets/other", "10.0.0.1", true, false},
        {"the target's address, after it", "targets/other", "10.0.0.1", false, false},
        {"the target's key", "targets/i-1", "10.0.0.1", true, false},
        {"the target's key, removed", "targets/i-1", "10.0.0.1", true, true},
        {"another host", "targets/other", "10.0.0.9", false, false},
    };
    for (const foreign_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            builder_fixture d;
            d.put("configuration", make_configuration(4));
            d.put("targets/i-1", make_instance("i-1"));
            instance foreign = make_instance("other", 900, c.m_host);
            foreign.m_service = "another-tool";
            foreign.m_sequence = 70;
            d.put(c.m_key, foreign);
            if (c.m_is_removed) {
                d.remove(c.m_key);
                d.restore();
            }
            if (c.m_is_first) {
                d.put("targets/i-1", make_instance("i-1"));
            }
            BOOST_TEST((d.targets() == names{"i-1"}));
            BOOST_TEST((d.m_snapshot_builder.hosts_of("bala") == names{"10.0.0.1"}));
        }
    }
}

// An address may pass to a service that only the next version of the configuration names.
BOOST_AUTO_TEST_CASE(registration_counts_once_the_configuration_names_its_service)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    d.put("targets/i-1", make_instance("i-1"));
    instance later = make_instance("i-2", 900);
    later.m_service = "register";
    d.put("targets/i-2", later);
    BOOST_TEST((d.targets() == names{"i-1"}));
    config::snapshot next = make_configuration(5);
    config::service added;
    added.m_name = "register";
    next.m_services.insert(next.m_services.begin(), added);
    d.put("configuration", next);
    BOOST_TEST((d.targets() == names{"i-2"}));
}

// Guards against an evacuation that gets lost: by its order relative to other values, by a value
// that cannot be read, or by a copy that a restored store holds; and against one that nobody asked
// for or that outlasts its withdrawal.
BOOST_AUTO_TEST_CASE(evacuation_is_in_force_from_its_key_s_appearance_to_its_removal)
{
    const evacuation bala{"bala"};
    struct evacuation_case {
        const char* m_name;
        std::function<void(builder_fixture&)> m_change;
        names m_domains;
        names m_drained;
    };
    const evacuation_case cases[] = {
        {"requested", [&](auto& d) { d.put("e/bala", bala); }, {"bala"}, {"i-1", "i-2"}},
        {"requested again with other bytes",
         [&](auto& d) {
             d.put("e/bala", bala);
             d.put("e/bala", bala);
         },
         {"bala"},
         {"i-1", "i-2"}},
        {"withdrawn",
         [&](auto& d) {
             d.put("e/bala", bala);
             d.remove("e/bala");
         },
         {},
         {}},
        {"unreadable value after a request",
         [&](auto& d) {
             d.put("e/bala", bala);
             d.put_unreadable("e/bala");
         },
         {"bala"},
         {"i-1", "i-2"}},
        {"withdrawn after an unreadable value",
         [&](auto& d) {
             d.put("e/bala", bala);
             d.put_unreadable("e/bala");
             d.remove("e/bala");
         },
         {},
         {}},
        {"unreadable value without a request", [](auto& d) { d.put_unreadable("e/bala"); }, {}, {}},
        {"unknown domain",
         [](auto& d) { d.put("e/ruthin", evacuation{"ruthin"}); },
         {"ruthin"},
         {}},
        {"two domains, in any order",
         [&](auto& d) {
             d.put("e/dolgellau", evacuation{"dolgellau"});
             d.put("e/bala", bala);
         },
         {"bala", "dolgellau"},
         {"i-1", "i-2", "i-3"}},
        {"two domains, one withdrawn",
         [&](auto& d) {
             d.put("e/dolgellau", evacuation{"dolgellau"});
             d.put("e/bala", bala);
             d.remove("e/bala");
         },
         {"dolgellau"},
         {"i-3"}},
        {"withdrawn, and requested in the copy that the store is restored from",
         [&](auto& d) {
             d.put("e/bala", bala);
             d.remove("e/bala");
             d.restore();
             d.put("e/bala", bala);
         },
         {"bala"},
         {"i-1", "i-2"}},
        {"older configuration of a restored store",
         [&](auto& d) {
             d.put("e/bala", bala);
             d.restore();
             d.put("configuration", make_configuration(3));
         },
         {"bala"},
         {"i-1", "i-2"}},
        {"later registration",
         [&](auto& d) {
             d.put("e/bala", bala);
             d.put("targets/i-4", make_instance("i-4", 200, "10.0.0.4"));
         },
         {"bala"},
         {"i-1", "i-2", "i-4"}},
        {"target that also drains by its registration",
         [&](auto& d) {
             instance draining = make_instance("i-2", 100, "10.0.0.2");
             draining.m_draining = true;
             d.put("targets/i-2", draining);
             d.put("e/bala", bala);
         },
         {"bala"},
         {"i-1", "i-2"}},
    };
    for (const bool is_configuration_last : {false, true}) {
        for (const evacuation_case& c : cases) {
            BOOST_TEST_CONTEXT(c.m_name << ", configuration last: " << is_configuration_last)
            {
                builder_fixture d;
                if (!is_configuration_last) {
                    d.put("configuration", make_configuration(4));
                }
                d.put("targets/i-1", make_instance("i-1", 100, "10.0.0.1"));
                d.put("targets/i-2", make_instance("i-2", 100, "10.0.0.2"));
                instance elsewhere = make_instance("i-3", 100, "10.0.0.3");
                elsewhere.m_failure_domain = "dolgellau";
                d.put("targets/i-3", elsewhere);
                c.m_change(d);
                if (is_configuration_last) {
                    d.put("configuration", make_configuration(4));
                }
                const config::snapshot_ptr now = d.m_snapshot_builder.current();
                BOOST_TEST(now->m_evacuated_domains == c.m_domains,
                           boost::test_tools::per_element());
                names drained;
                for (const config::drain_rule& rule : now->m_drains) {
                    drained.push_back(rule.m_target);
                    BOOST_TEST(now->is_draining(rule.m_target));
                }
                BOOST_TEST(drained == c.m_drained, boost::test_tools::per_element());
                BOOST_TEST(now->m_services.at(0).m_targets.size() >= 3U);
            }
        }
    }
}

// Nodes of an evacuated failure domain go on relaying, so that its hosts must stay its members.
BOOST_AUTO_TEST_CASE(evacuation_changes_no_member_and_its_rules_name_it)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    d.put("targets/i-1", make_instance("i-1"));
    d.put("e/bala", evacuation{"bala"});
    BOOST_TEST((d.m_snapshot_builder.hosts_of("bala") == names{"10.0.0.1"}));
    const config::snapshot_ptr now = d.m_snapshot_builder.current();
    BOOST_TEST(now->m_drains.at(0).m_note == "evacuation of failure domain bala");
    BOOST_TEST(now->has_host("10.0.0.1"));
}

BOOST_AUTO_TEST_CASE(snapshot_is_published_only_after_a_change)
{
    builder_fixture d;
    d.put("configuration", make_configuration(4));
    const int before = d.m_snapshots;
    d.m_snapshot_builder.publish();
    d.put("configuration", make_configuration(4));
    d.put("other/key", std::monostate{});
    d.remove("e/bala");
    BOOST_TEST(d.m_snapshots == before);
}

} // namespace
} // namespace pomelohead::discovery
