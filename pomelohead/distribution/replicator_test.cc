// Claims of peers, and the version_gate.
#include "pomelohead/distribution/replicator.h"

#include "testing/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::distribution {
namespace {

using namespace std::chrono_literals;
using config::bundle;
using testing::invalid_bundle;
using testing::sample_bundle;

version_id id_of(const bundle& item)
{
    reason why;
    return {config::parse_manifest(item.m_manifest, why)->m_version,
            config::content_hash(item.m_manifest)};
}

// A replicator that records what it sent and put in force.
struct replicator_fixture {
    std::vector<std::pair<std::string, pull>> m_pulls;
    std::vector<std::string> m_fetches;
    std::vector<config::version_number> m_in_force;
    std::vector<std::string> m_events;
    time_point m_now{};
    replicator m_versions{
        {},
        {.m_send =
             [this](const std::string& address, const message& item) {
                 m_pulls.emplace_back(address, std::get<pull>(item));
             },
         .m_fetch_section = [this](const std::string& hash) { m_fetches.push_back(hash); },
         .m_in_force =
             [this](const config::snapshot_ptr& c) { m_in_force.push_back(c->m_version); },
         .m_log = [this](log_level, std::string_view event,
                         const std::string&) { m_events.emplace_back(event); }},
        1};

    // Answers all pulls to `address` with values from `has`; drops pulls to other peers.
    void serve(const std::string& address, const bundle& has)
    {
        while (!m_pulls.empty()) {
            const auto [to, request] = m_pulls.front();
            m_pulls.erase(m_pulls.begin());
            if (to != address) {
                continue;
            }
            if (!request.m_manifest_hash.empty()) {
                m_versions.on_manifest(address, {request.m_manifest_hash, has.m_manifest}, m_now);
            }
            if (!request.m_section_hashes.empty()) {
                section_values values;
                for (const std::string& hash : request.m_section_hashes) {
                    if (has.m_sections.contains(hash)) {
                        values.m_sections.push_back(has.m_sections.at(hash));
                    }
                }
                m_versions.on_sections(address, values, m_now);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(the_gate_classifies_and_accepts_offered_versions)
{
    struct offer_case {
        const char* m_name = nullptr;
        bundle m_offered;
        offer_status m_status = offer_status::newer;
        bool m_accepted = false;
        reason_code m_code = reason_code::none;
    };
    bundle incomplete = sample_bundle(6);
    incomplete.m_sections.erase(incomplete.m_sections.begin());
    bundle damaged = sample_bundle(6);
    damaged.m_sections.begin()->second += " ";
    const offer_case cases[] = {
        {"newer", sample_bundle(6), offer_status::newer, true, reason_code::none},
        {"much newer", sample_bundle(99), offer_status::newer, true, reason_code::none},
        {"older", sample_bundle(4), offer_status::stale, false, reason_code::stale},
        {"the same", sample_bundle(5), offer_status::duplicate, false, reason_code::stale},
        {"the same version, different content", sample_bundle(5, "x"), offer_status::conflict,
         false, reason_code::conflict},
        {"invalid as a whole", invalid_bundle(6), offer_status::newer, false, reason_code::invalid},
        {"a section is missing", incomplete, offer_status::newer, false, reason_code::not_found},
        {"a section has the wrong content", damaged, offer_status::newer, false,
         reason_code::malformed},
    };
    for (const offer_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            version_gate gate;
            reason why;
            const bundle first = sample_bundle(5);
            const config::snapshot_ptr previous =
                gate.accept(first.m_manifest, first.m_sections, why);
            BOOST_REQUIRE(previous);
            BOOST_TEST((gate.classify(id_of(c.m_offered)) == c.m_status));
            const auto accepted = gate.accept(c.m_offered.m_manifest, c.m_offered.m_sections, why);
            BOOST_TEST((accepted != nullptr) == c.m_accepted);
            BOOST_TEST((gate.current() == (c.m_accepted ? accepted : previous)));
            if (!c.m_accepted) {
                BOOST_TEST(to_string(why.m_code) == to_string(c.m_code));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(invalid_content_is_not_fetched_again_but_incomplete_content_is)
{
    version_gate gate;
    reason why;
    const bundle bad = invalid_bundle(6);
    BOOST_TEST(!gate.accept(bad.m_manifest, bad.m_sections, why));
    BOOST_TEST((gate.classify(id_of(bad)) == offer_status::rejected));
    const bundle good = sample_bundle(6);
    BOOST_TEST(!gate.accept(good.m_manifest, {}, why));
    BOOST_TEST((gate.classify(id_of(good)) == offer_status::newer));
}

BOOST_FIXTURE_TEST_CASE(a_version_is_pulled_from_a_peer_by_hash, replicator_fixture)
{
    m_versions.allow_first_version(true, m_now);
    m_versions.on_claim("10.0.0.2", id_of(sample_bundle(2)), m_now);
    serve("10.0.0.2", sample_bundle(2));
    BOOST_TEST(m_in_force == std::vector<config::version_number>{2},
               boost::test_tools::per_element());
    BOOST_TEST(m_fetches.empty());
    // The next version differs in one section; only that one is pulled.
    m_versions.on_claim("10.0.0.2", id_of(sample_bundle(3)), m_now);
    BOOST_REQUIRE(m_pulls.size() == 1U);
    const std::string hash = m_pulls[0].second.m_manifest_hash;
    m_pulls.clear();
    m_versions.on_manifest("10.0.0.2", {hash, sample_bundle(3).m_manifest}, m_now);
    BOOST_REQUIRE(m_pulls.size() == 1U);
    BOOST_TEST(m_pulls[0].second.m_section_hashes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(false_claims_of_peers_are_rejected)
{
    struct false_claim_case {
        const char* m_name = nullptr;
        version_id m_claim;
        bundle m_delivered;
    };
    const version_id true_id = id_of(sample_bundle(2));
    const false_claim_case cases[] = {
        {"content with a different hash", {9, config::content_hash("x")}, sample_bundle(9)},
        {"a higher version than in the manifest", {9, true_id.m_manifest_hash}, sample_bundle(2)},
        {"content that is not a manifest", {9, config::content_hash("x")}, {"x", {}}},
        {"an invalid version", id_of(invalid_bundle(9)), invalid_bundle(9)},
    };
    for (const false_claim_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            replicator_fixture f;
            f.m_versions.allow_first_version(true, f.m_now);
            f.m_versions.on_claim("10.0.0.2", c.m_claim, f.m_now);
            BOOST_TEST(f.m_versions.highest_claimed_version() == 9U);
            f.serve("10.0.0.2", c.m_delivered);
            BOOST_TEST(f.m_in_force.empty());
            BOOST_TEST(f.m_versions.highest_claimed_version() == 0U);
            BOOST_TEST(f.m_versions.gate().last_refusal().has_value());
            // The false claim is not accepted again; a true claim is.
            f.m_versions.on_claim("10.0.0.2", c.m_claim, f.m_now + 1s);
            BOOST_TEST(f.m_pulls.empty());
            BOOST_TEST(f.m_versions.highest_claimed_version() == 0U);
            f.m_versions.on_claim("10.0.0.3", true_id, f.m_now);
            f.serve("10.0.0.3", sample_bundle(2));
            BOOST_TEST(f.m_in_force.size() == 1U);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(a_first_version_older_than_a_claimed_one_is_held_back, replicator_fixture)
{
    const bundle old = sample_bundle(7);
    m_versions.allow_first_version(true, m_now);
    m_versions.on_claim("10.0.0.2", id_of(sample_bundle(8)), m_now);
    m_versions.on_source_manifest(old.m_manifest, m_now);
    for (const auto& [hash, bytes] : old.m_sections) {
        m_versions.on_source_section(hash, bytes, m_now);
    }
    BOOST_TEST(m_in_force.empty());
    BOOST_TEST((m_versions.gate().last_refusal()->m_why.m_code == reason_code::stale));
    serve("10.0.0.2", sample_bundle(8));
    BOOST_TEST(m_in_force == std::vector<config::version_number>{8},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_older_first_version_is_held_back_until_the_claim_is_disproved)
{
    struct holder_case {
        const char* m_name;
        bool m_answers_without_content;
        bool m_withdraws_claim;
        bool m_is_applied;
    };
    const holder_case cases[] = {
        {"does not answer", false, false, false},
        {"restarted without the version", false, true, false},
        {"answers without the content", true, false, true},
    };
    for (const holder_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            replicator_fixture f;
            const bundle old = sample_bundle(7);
            f.m_versions.allow_first_version(true, f.m_now);
            f.m_versions.on_claim("10.0.0.2", id_of(sample_bundle(8)), f.m_now);
            f.m_versions.on_source_manifest(old.m_manifest, f.m_now);
            for (const auto& [hash, bytes] : old.m_sections) {
                f.m_versions.on_source_section(hash, bytes, f.m_now);
            }
            if (c.m_withdraws_claim) {
                f.m_versions.on_claim("10.0.0.2", {}, f.m_now);
            }
            for (int second = 0; second < 120; ++second) {
                f.m_now += 1s;
                if (c.m_answers_without_content) {
                    f.serve("10.0.0.2", {});
                }
                f.m_versions.tick(f.m_now);
            }
            BOOST_TEST(f.m_in_force.size() == (c.m_is_applied ? 1U : 0U));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(no_version_is_in_force_before_the_first_one_is_allowed, replicator_fixture)
{
    const bundle first = sample_bundle(1);
    m_versions.on_source_manifest(first.m_manifest, m_now);
    for (const auto& [hash, bytes] : first.m_sections) {
        m_versions.on_source_section(hash, bytes, m_now);
    }
    BOOST_TEST(m_in_force.empty());
    m_versions.allow_first_version(true, m_now);
    BOOST_TEST(m_in_force.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(unsolicited_values_are_ignored, replicator_fixture)
{
    m_versions.allow_first_version(true, m_now);
    const bundle item = sample_bundle(2);
    m_versions.on_manifest("10.0.0.2", {id_of(item).m_manifest_hash, item.m_manifest}, m_now);
    for (const auto& [hash, bytes] : item.m_sections) {
        m_versions.on_sections("10.0.0.2", {{bytes}}, m_now);
        m_versions.on_source_section(hash, bytes, m_now);
    }
    BOOST_TEST(m_in_force.empty());
    BOOST_TEST(!m_versions.is_assembling());
}

} // namespace pomelohead::distribution
