// What a node believes after values of every kind, in every order that hurts.
#include "pomelohead/discovery/directory.h"

#include <boost/test/unit_test.hpp>

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

// Values are given as they would be decoded, by key.
struct fed_directory {
    fed_directory()
        : m_directory(
              [this](const source::key_change& change, reason& why) -> std::optional<decoded> {
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

    void put(const std::string& key, decoded value)
    {
        const std::string name = std::to_string(m_values.size());
        m_values.emplace(name, std::move(value));
        m_directory.put({key, ++m_revision, name});
        m_directory.settle();
    }

    void put_unreadable(const std::string& key)
    {
        m_directory.put({key, ++m_revision, "?"});
        m_directory.settle();
    }

    [[nodiscard]] std::vector<std::string> targets() const
    {
        std::vector<std::string> names;
        for (const config::target& item : m_directory.current()->m_services.at(0).m_targets) {
            names.push_back(item.m_name);
        }
        return names;
    }

    std::map<std::string, decoded> m_values;
    std::uint64_t m_revision = 0;
    int m_snapshots = 0;
    directory m_directory;
};

using names = std::vector<std::string>;

BOOST_AUTO_TEST_CASE(nothing_is_in_force_before_the_first_configuration)
{
    fed_directory d;
    d.put("targets/i-1", make_instance("i-1"));
    BOOST_TEST(d.m_directory.current() == nullptr);
    d.put("configuration", make_configuration(4));
    BOOST_TEST(d.m_directory.current()->m_version == 4U);
    BOOST_TEST((d.targets() == names{"i-1"}));
    BOOST_TEST(d.m_directory.current()->m_services[0].m_targets[0].m_connections == 110U);
}

BOOST_AUTO_TEST_CASE(the_version_in_force_only_grows)
{
    fed_directory d;
    d.put("configuration", make_configuration(4));
    d.put("configuration", make_configuration(3));
    BOOST_TEST(d.m_directory.current()->m_version == 4U);
    BOOST_TEST((d.m_directory.last_refusal().m_code == reason_code::stale));
    config::snapshot other = make_configuration(4);
    other.m_routes[0].m_path_prefix = "/b/";
    d.put("configuration", other);
    BOOST_TEST(d.m_directory.current()->m_routes[0].m_path_prefix == "/a/");
    BOOST_TEST((d.m_directory.last_refusal().m_code == reason_code::conflict));
    d.put("configuration", make_configuration(9));
    BOOST_TEST(d.m_directory.current()->m_version == 9U);
}

BOOST_AUTO_TEST_CASE(an_invalid_configuration_is_refused_whole)
{
    fed_directory d;
    d.put("configuration", make_configuration(4));
    d.put("configuration", make_configuration(5, "unknown"));
    BOOST_TEST(d.m_directory.current()->m_version == 4U);
    BOOST_TEST((d.m_directory.last_refusal().m_code == reason_code::invalid));
}

BOOST_AUTO_TEST_CASE(a_configuration_stays_when_its_key_goes)
{
    fed_directory d;
    d.put("configuration", make_configuration(4));
    d.m_directory.remove("configuration");
    d.m_directory.settle();
    BOOST_TEST(d.m_directory.current()->m_version == 4U);
}

BOOST_AUTO_TEST_CASE(a_draining_target_stays_with_a_drain_rule)
{
    fed_directory d;
    d.put("configuration", make_configuration(4));
    d.put("targets/i-1", make_instance("i-1"));
    instance draining = make_instance("i-1");
    draining.m_draining = true;
    ++draining.m_sequence;
    d.put("targets/i-1", draining);
    BOOST_TEST((d.targets() == names{"i-1"}));
    BOOST_TEST(d.m_directory.current()->is_draining("i-1"));
    d.m_directory.remove("targets/i-1");
    d.m_directory.settle();
    BOOST_TEST(d.targets().empty());
}

BOOST_AUTO_TEST_CASE(a_registration_of_an_earlier_start_or_beat_changes_nothing)
{
    fed_directory d;
    d.put("configuration", make_configuration(4));
    d.put("targets/i-1", make_instance("i-1", 200));
    instance late = make_instance("i-1", 100);
    late.m_draining = true;
    late.m_sequence = 99;
    d.put("targets/i-1", late);
    BOOST_TEST(!d.m_directory.current()->is_draining("i-1"));
    instance old_beat = make_instance("i-1", 200);
    old_beat.m_draining = true;
    old_beat.m_sequence = 4;
    d.put("targets/i-1", old_beat);
    BOOST_TEST(!d.m_directory.current()->is_draining("i-1"));
}

// After all machines lost power, targets come back under new ids at their addresses while
// the old registrations have not lapsed yet.
BOOST_AUTO_TEST_CASE(of_two_registrations_at_one_address_the_later_start_is_used)
{
    fed_directory d;
    d.put("configuration", make_configuration(4));
    d.put("targets/old", make_instance("old", 100));
    d.put("targets/new", make_instance("new", 200));
    BOOST_TEST((d.targets() == names{"new"}));
    d.put("targets/elsewhere", make_instance("elsewhere", 300, "10.0.0.2"));
    BOOST_TEST((d.targets() == names{"elsewhere", "new"}));
    d.m_directory.remove("targets/new");
    d.m_directory.settle();
    BOOST_TEST((d.targets() == names{"elsewhere", "old"}));
}

BOOST_AUTO_TEST_CASE(an_unreadable_entry_names_no_target_and_the_others_hold)
{
    fed_directory d;
    d.put("configuration", make_configuration(4));
    d.put("targets/i-1", make_instance("i-1"));
    d.put("targets/i-2", make_instance("i-2", 100, "10.0.0.2"));
    d.put_unreadable("targets/i-2");
    d.put_unreadable("targets/i-3");
    d.put_unreadable("configuration");
    BOOST_TEST((d.targets() == names{"i-1"}));
}

BOOST_AUTO_TEST_CASE(a_target_of_a_service_that_the_configuration_lacks_is_not_used)
{
    fed_directory d;
    d.put("configuration", make_configuration(4));
    instance other = make_instance("i-1");
    other.m_service = "cofrestr";
    d.put("targets/i-1", other);
    BOOST_TEST(d.targets().empty());
}

BOOST_AUTO_TEST_CASE(a_snapshot_is_made_only_of_a_change)
{
    fed_directory d;
    d.put("configuration", make_configuration(4));
    const int before = d.m_snapshots;
    d.m_directory.settle();
    d.put("configuration", make_configuration(4));
    d.put("other/key", std::monostate{});
    BOOST_TEST(d.m_snapshots == before);
}

} // namespace
} // namespace pomelohead::discovery
