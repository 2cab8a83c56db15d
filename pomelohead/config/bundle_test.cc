#include "pomelohead/config/bundle.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::config {
namespace {

using namespace std::chrono_literals;

snapshot make_sample_config()
{
    snapshot config;
    config.m_version = 7;
    config.m_routes = {{.m_name = "rota",
                        .m_account = "gwynedd",
                        .m_method = "GET",
                        .m_path_prefix = "/rota",
                        .m_service = "rota",
                        .m_idempotent = true,
                        .m_deadline = 500ms}};
    config.m_services = {{"rota",
                          {{.m_name = "rota-1",
                            .m_service = "rota",
                            .m_host = "127.0.1.1",
                            .m_port = 7100,
                            .m_failure_domain = "bala",
                            .m_slots = 9,
                            .m_connections = 110}}}};
    return config;
}

std::string section_hash(const bundle& b, const std::string& name)
{
    reason why;
    const std::optional<manifest> parsed = parse_manifest(b.m_manifest, why);
    for (const section_ref& ref : parsed->m_sections) {
        if (ref.m_name == name) {
            return ref.m_hash;
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_bundle_opens_to_the_original_snapshot)
{
    const bundle b = make_bundle(make_sample_config());
    reason why;
    const auto opened = open_bundle(b.m_manifest, b.m_sections, why);
    BOOST_REQUIRE_MESSAGE(opened, why.m_text);
    snapshot expected = make_sample_config();
    expected.m_manifest_hash = content_hash(b.m_manifest);
    BOOST_TEST((*opened == expected));
}

BOOST_AUTO_TEST_CASE(a_faulty_bundle_is_rejected)
{
    struct fault_case {
        const char* m_name;
        void (*m_corrupt)(bundle&);
        reason_code m_code;
    };
    const fault_case cases[] = {
        {"missing section", [](bundle& b) { b.m_sections.erase(section_hash(b, "routes")); },
         reason_code::not_found},
        {"section bytes that do not match the hash",
         [](bundle& b) { b.m_sections[section_hash(b, "rules")] += ' '; }, reason_code::malformed},
        {"truncated manifest", [](bundle& b) { b.m_manifest.resize(b.m_manifest.size() / 2); },
         reason_code::malformed},
        {"unknown field in the manifest",
         [](bundle& b) { b.m_manifest.insert(1, R"("extra":1,)"); }, reason_code::malformed},
        {"route to an unknown service",
         [](bundle& b) {
             snapshot config = make_sample_config();
             config.m_routes[0].m_service = "nowhere";
             b = make_bundle(config);
         },
         reason_code::invalid},
        {"oversized manifest", [](bundle& b) { b.m_manifest.append(max_value_bytes, ' '); },
         reason_code::too_large},
    };
    for (const fault_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            bundle b = make_bundle(make_sample_config());
            c.m_corrupt(b);
            reason why;
            BOOST_TEST(!open_bundle(b.m_manifest, b.m_sections, why));
            BOOST_TEST((why.m_code == c.m_code));
            BOOST_TEST(!why.m_text.empty());
        }
    }
}

} // namespace pomelohead::config
