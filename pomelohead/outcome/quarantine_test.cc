#include "pomelohead/outcome/fingerprint.h"
#include "pomelohead/outcome/quarantine.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::outcome {
namespace {

using namespace std::chrono_literals;
using verdict = quarantine_verdict;

const time_point start{};

} // namespace

BOOST_AUTO_TEST_CASE(fingerprint_ignores_what_differs_between_resends)
{
    const request_content first{.m_method = "POST",
                                .m_target = "/swap?week=3",
                                .m_headers = {{"Accept", "text/html"}, {"X-Crash", "1"}},
                                .m_body_prefix = "body"};
    struct content_case {
        const char* m_name;
        std::function<void(request_content&)> m_change;
        bool m_same;
    };
    const content_case cases[] = {
        {"other ticket",
         [](request_content& c) {
             c.m_headers.push_back({"Pomelohead-Ticket", "1/x"});
         },
         true},
        {"other request id",
         [](request_content& c) {
             c.m_headers.push_back({"x-request-id", "9"});
         },
         true},
        {"headers in another order and case",
         [](request_content& c) {
             c.m_headers = {{"x-crash", "1"}, {"ACCEPT", "text/html"}};
         },
         true},
        {"other method", [](request_content& c) { c.m_method = "PUT"; }, false},
        {"other query", [](request_content& c) { c.m_target = "/swap?week=4"; }, false},
        {"other body", [](request_content& c) { c.m_body_prefix = "bodY"; }, false},
        {"without the crashing header", [](request_content& c) { c.m_headers.pop_back(); }, false},
        {"byte moved from path to method",
         [](request_content& c) {
             c.m_method = "POST/";
             c.m_target = "swap?week=3";
         },
         false},
    };
    for (const content_case& c : cases) {
        request_content other = first;
        c.m_change(other);
        BOOST_TEST((make_fingerprint(other) == make_fingerprint(first)) == c.m_same, c.m_name);
    }
}

BOOST_AUTO_TEST_CASE(verdict_depends_on_recorded_crashes)
{
    struct crash {
        const char* m_id;
        std::vector<std::string> m_in_flight;
    };
    struct verdict_case {
        const char* m_name;
        std::vector<crash> m_crashes;
        std::vector<std::string> m_ran_well; ///< after the first crash
        verdict m_crashing_verdict;
        verdict m_other_verdict;
    };
    const verdict_case cases[] = {
        {"no crash", {}, {}, verdict::run, verdict::run},
        {"one crash, both in flight",
         {{"c1", {"g", "i"}}},
         {},
         verdict::run_alone,
         verdict::run_alone},
        {"one crash, both in flight, the other cleared",
         {{"c1", {"g", "i"}}},
         {"i"},
         verdict::run_alone,
         verdict::run},
        {"the same crash recorded twice",
         {{"c1", {"g"}}, {"c1", {"g"}}},
         {},
         verdict::run_alone,
         verdict::run},
        {"second crash with only one in flight",
         {{"c1", {"g", "i"}}, {"c2", {"g"}}},
         {},
         verdict::refuse,
         verdict::run_alone},
        {"two crashes, only one in flight in both",
         {{"c1", {"g", "i"}}, {"c2", {"g", "j"}}},
         {},
         verdict::refuse,
         verdict::run_alone},
        {"two crashes, both in flight, the other not cleared",
         {{"c1", {"g", "i"}}, {"c2", {"h", "i", "g"}}},
         {},
         verdict::run_alone,
         verdict::run_alone},
        {"two crashes, both in flight, the other cleared between them",
         {{"c1", {"g", "i"}}, {"c2", {"g", "i"}}},
         {"i"},
         verdict::refuse,
         verdict::run_alone},
    };
    for (const verdict_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            quarantine tracker({});
            for (std::size_t i = 0; i < c.m_crashes.size(); ++i) {
                tracker.record_crash(c.m_crashes[i].m_id, c.m_crashes[i].m_in_flight, start);
                for (const std::string& fingerprint : c.m_ran_well) {
                    if (i == 0) {
                        tracker.record_success(fingerprint, start);
                    }
                }
            }
            BOOST_TEST((tracker.check("g", start) == c.m_crashing_verdict));
            BOOST_TEST((tracker.check("i", start) == c.m_other_verdict));
        }
    }
}

BOOST_AUTO_TEST_CASE(marks_merge_in_any_order_and_expire)
{
    quarantine left({});
    quarantine right({});
    left.record_crash("c1", {"g"}, start);
    right.record_crash("c2", {"g"}, start);
    left.record_crash("c3", {"i", "k"}, start);
    const std::vector<crash_mark> early = left.digest(start);
    left.record_success("i", start);
    BOOST_TEST(right.merge(left.digest(start), start));
    BOOST_TEST(!right.merge(early, start + 1s)); // late duplicate: a cleared mark stays cleared
    BOOST_TEST(left.merge(right.digest(start), start));
    BOOST_TEST((left.digest(start) == right.digest(start)));
    BOOST_TEST((left.check("g", start) == verdict::refuse));
    BOOST_TEST((right.check("i", start) == verdict::run));
    // A mark that is received back shortly before it expires is not extended.
    const std::vector<crash_mark> echo = right.digest(start + 595s);
    left.expire(start + 600s);
    BOOST_TEST(!left.merge(echo, start + 600s));
    BOOST_TEST((left.check("g", start + 600s) == verdict::run));
    BOOST_TEST((right.check("g", start + 600s) == verdict::run));
}

BOOST_AUTO_TEST_CASE(release_clears_a_listed_fingerprint)
{
    quarantine tracker({.m_max_marks = 3});
    tracker.record_crash("c1", {"g"}, start);
    tracker.record_crash("c2", {"g"}, start + 1s);
    const std::vector<quarantine_status> all = tracker.list(start + 1s);
    BOOST_REQUIRE(all.size() == 1U);
    BOOST_TEST(
        (all[0] == quarantine_status{"g", verdict::refuse, {"c1", "c2"}, milliseconds(600'000)}));
    BOOST_TEST(tracker.release("g", start + 1s));
    BOOST_TEST(!tracker.release("g", start + 1s));
    BOOST_TEST((tracker.check("g", start + 1s) == verdict::run));
    tracker.record_crash("c3", {"a", "b", "c"}, start + 2s);
    BOOST_TEST(tracker.digest(start + 2s).size() == 3U);
}

// A caller keeps resending a crashing request. Each owner sends its marks to the other
// owners before the caller is answered. Unless it must run
// alone, every combination of two harmless requests is in flight at the same time.
BOOST_AUTO_TEST_CASE(a_crashing_request_crashes_at_most_two_targets)
{
    constexpr int sends = 5;
    constexpr int concurrent_sets = 4; // none, i, j or both
    constexpr int combinations = 1024; // concurrent_sets to the power of sends
    for (int choice = 0; choice < combinations; ++choice) {
        std::vector<quarantine> owners(sends, quarantine({}));
        int crashes = 0;
        int remaining_choice = choice;
        for (int send = 0; send < sends; ++send, remaining_choice /= concurrent_sets) {
            quarantine& owner = owners[static_cast<std::size_t>(send)];
            const verdict allowed = owner.check("g", start);
            if (allowed == verdict::refuse) {
                continue;
            }
            std::vector<std::string> in_flight{"g"};
            const int concurrent =
                allowed == verdict::run_alone ? 0 : remaining_choice % concurrent_sets;
            if ((concurrent & 1) != 0) {
                in_flight.emplace_back("i");
            }
            if ((concurrent & 2) != 0) {
                in_flight.emplace_back("j");
            }
            ++crashes;
            owner.record_crash("c" + std::to_string(send), in_flight, start);
            for (quarantine& other : owners) {
                other.merge(owner.digest(start), start);
            }
        }
        BOOST_TEST(crashes == 2, "combination " << choice);
        BOOST_TEST((owners[0].check("i", start) != verdict::refuse));
        BOOST_TEST((owners[0].check("j", start) != verdict::refuse));
    }
}

} // namespace pomelohead::outcome
