#include "pomelohead/sheet/diff.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace pomelohead::sheet {
namespace {

using namespace std::chrono_literals;
using config::snapshot;

snapshot sample()
{
    const auto target_of = [](const std::string& name, const std::string& service) {
        return config::target{.m_name = name,
                              .m_service = service,
                              .m_host = "127.0.1.1",
                              .m_port = 7100,
                              .m_failure_domain = "bala",
                              .m_slots = 9,
                              .m_connections = 110};
    };
    snapshot config;
    config.m_routes = {{.m_name = "rota",
                        .m_account = "Gwynedd",
                        .m_method = "GET",
                        .m_path_prefix = "/rota",
                        .m_service = "rota",
                        .m_idempotent = true,
                        .m_deadline = 500ms}};
    config.m_services = {{"clocks", {target_of("c-1", "clocks")}},
                         {"rota", {target_of("r-1", "rota"), target_of("r-2", "rota")}}};
    config.m_drains = {{"r-2", "note"}};
    config.m_sheds = {{.m_account = "*", .m_load_percent = 150}};
    return config;
}

std::string sentences(const snapshot_diff& diff)
{
    std::string text;
    for (const change& item : diff.m_changes) {
        text += to_sentence(item) + '\n';
    }
    for (const warning& item : diff.m_warnings) {
        text += "warning: " + item.m_text + '\n';
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(versions_and_hashes_are_not_compared)
{
    snapshot later = sample();
    later.m_version = 9;
    later.m_manifest_hash = "other";
    BOOST_TEST((compare(sample(), later) == snapshot_diff{}));
}

BOOST_AUTO_TEST_CASE(each_change_and_warning_has_its_sentence)
{
    struct diff_case {
        std::function<void(snapshot&)> m_change;
        const char* m_text;
    };
    const diff_case cases[] = {
        {[](snapshot& c) { c.m_routes[0].m_service = "clocks"; },
         "route 'rota' is moved to another service: 'rota' -> 'clocks'\n"},
        {[](snapshot& c) { c.m_routes[0].m_class = config::work_class::long_work; },
         "route 'rota' changes class: 'short' -> 'long'\n"},
        {[](snapshot& c) { c.m_routes[0].m_deadline = 600ms; },
         "route 'rota' changes deadline_ms: '500' -> '600'\n"},
        {[](snapshot& c) { c.m_routes[0].m_idempotent = false; },
         "route 'rota' changes idempotent: 'yes' -> 'no'\n"},
        {[](snapshot& c) { c.m_routes[0].m_name = "rounds"; },
         "route 'rota' is removed\nroute 'rounds' is added\n"},
        {[](snapshot& c) {
             c.m_services[1].m_targets.push_back(c.m_services[1].m_targets[0]);
             c.m_services[1].m_targets.back().m_name = "r-3";
         },
         "target 'r-3' is added\n"},
        {[](snapshot& c) { c.m_services[1].m_targets[0].m_slots = 6; },
         "target 'r-1' changes slots: '9' -> '6'\n"},
        {[](snapshot& c) { c.m_drains.clear(); }, "target 'r-2' is no longer drained\n"},
        {[](snapshot& c) { c.m_drains[0].m_note = "later"; },
         "drain of target 'r-2' changes note: 'note' -> 'later'\n"},
        {[](snapshot& c) {
             c.m_services[1].m_targets.pop_back();
             c.m_drains.clear();
         },
         "target 'r-2' is removed\n"},
        {[](snapshot& c) { c.m_sheds[0].m_load_percent = 90; },
         "shed rule for 'all accounts, short requests, from normal' changes load_percent: "
         "'150' -> '90'\n"},
        {[](snapshot& c) { c.m_sheds.clear(); },
         "shed rule for 'all accounts, short requests, from normal' is removed\n"},
        {[](snapshot& c) {
             c.m_drains.insert(c.m_drains.begin(), {"r-1", ""});
         },
         "target 'r-1' is drained\n"
         "warning: service rota would have no usable target: all 2 targets are drained\n"},
        {[](snapshot& c) { c.m_services.erase(c.m_services.begin()); },
         "target 'c-1' is removed\nwarning: service clocks would have no target: its only "
         "target is removed\n"},
    };
    for (const diff_case& c : cases) {
        snapshot after = sample();
        c.m_change(after);
        BOOST_TEST(sentences(compare(sample(), after)) == c.m_text);
    }
}

} // namespace pomelohead::sheet
