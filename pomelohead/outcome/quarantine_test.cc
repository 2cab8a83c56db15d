#include "pomelohead/outcome/fingerprint.h"
#include "pomelohead/outcome/quarantine.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::outcome {
namespace {

using namespace std::chrono_literals;
using verdict = quarantine_verdict;

const time_point start{};

} // namespace

BOOST_AUTO_TEST_CASE(a_fingerprint_is_what_a_resend_keeps)
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
        {"parts shifted",
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

BOOST_AUTO_TEST_CASE(verdicts_follow_the_crashes)
{
    struct crash {
        const char* m_id;
        std::vector<std::string> m_in_flight;
    };
    struct verdict_case {
        const char* m_name;
        std::vector<crash> m_crashes;
        std::vector<std::string> m_ran_well; ///< after the first crash
        verdict m_guilty;
        verdict m_innocent;
    };
    const verdict_case cases[] = {
        {"none", {}, {}, verdict::run, verdict::run},
        {"one, together", {{"c1", {"g", "i"}}}, {}, verdict::apart, verdict::apart},
        {"one, together, and the innocent cleared",
         {{"c1", {"g", "i"}}},
         {"i"},
         verdict::apart,
         verdict::run},
        {"the same word twice", {{"c1", {"g"}}, {"c1", {"g"}}}, {}, verdict::apart, verdict::run},
        {"a second alone",
         {{"c1", {"g", "i"}}, {"c2", {"g"}}},
         {},
         verdict::refuse,
         verdict::apart},
        {"two together, only one in both",
         {{"c1", {"g", "i"}}, {"c2", {"g", "j"}}},
         {},
         verdict::refuse,
         verdict::apart},
        {"a busy innocent in both, not yet cleared",
         {{"c1", {"g", "i"}}, {"c2", {"h", "i", "g"}}},
         {},
         verdict::apart,
         verdict::apart},
        {"a busy innocent, cleared between",
         {{"c1", {"g", "i"}}, {"c2", {"g", "i"}}},
         {"i"},
         verdict::refuse,
         verdict::apart},
    };
    for (const verdict_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            quarantine watch({});
            for (std::size_t i = 0; i < c.m_crashes.size(); ++i) {
                watch.crashed(c.m_crashes[i].m_id, c.m_crashes[i].m_in_flight, start);
                for (const std::string& fingerprint : c.m_ran_well) {
                    if (i == 0) {
                        watch.ran_well(fingerprint, start);
                    }
                }
            }
            BOOST_TEST((watch.check("g", start) == c.m_guilty));
            BOOST_TEST((watch.check("i", start) == c.m_innocent));
        }
    }
}

BOOST_AUTO_TEST_CASE(word_spreads_in_any_order_and_dies_out)
{
    quarantine left({});
    quarantine right({});
    left.crashed("c1", {"g"}, start);
    right.crashed("c2", {"g"}, start);
    left.crashed("c3", {"i", "k"}, start);
    const std::vector<crash_mark> early = left.digest(start);
    left.ran_well("i", start);
    BOOST_TEST(right.merge(left.digest(start), start));
    BOOST_TEST(!right.merge(early, start + 1s)); // late, twice: cleared stays cleared
    BOOST_TEST(left.merge(right.digest(start), start));
    BOOST_TEST((left.digest(start) == right.digest(start)));
    BOOST_TEST((left.check("g", start) == verdict::refuse));
    BOOST_TEST((right.check("i", start) == verdict::run));
    // An echo late in a mark's life does not prolong it.
    const std::vector<crash_mark> echo = right.digest(start + 595s);
    left.expire(start + 600s);
    BOOST_TEST(!left.merge(echo, start + 600s));
    BOOST_TEST((left.check("g", start + 600s) == verdict::run));
    BOOST_TEST((right.check("g", start + 600s) == verdict::run));
}

BOOST_AUTO_TEST_CASE(operators_list_and_release)
{
    quarantine watch({.m_max_marks = 3});
    watch.crashed("c1", {"g"}, start);
    watch.crashed("c2", {"g"}, start + 1s);
    const std::vector<quarantine_status> all = watch.list(start + 1s);
    BOOST_REQUIRE(all.size() == 1U);
    BOOST_TEST(
        (all[0] == quarantine_status{"g", verdict::refuse, {"c1", "c2"}, milliseconds(600'000)}));
    BOOST_TEST(watch.release("g", start + 1s));
    BOOST_TEST(!watch.release("g", start + 1s));
    BOOST_TEST((watch.check("g", start + 1s) == verdict::run));
    watch.crashed("c3", {"a", "b", "c"}, start + 2s);
    BOOST_TEST(watch.digest(start + 2s).size() == 3U);
}

// The caller sends its crashing request again and again. Before it is answered,
// the owner has told the other owners; beside it run innocent requests, in every
// combination.
BOOST_AUTO_TEST_CASE(a_crashing_request_kills_at_most_two_targets)
{
    constexpr int sends = 5;
    constexpr int neighbour_sets = 4;  // none, i, j, both
    constexpr int combinations = 1024; // neighbour_sets to the power of sends
    for (int choice = 0; choice < combinations; ++choice) {
        std::vector<quarantine> owners(sends, quarantine({}));
        int killed = 0;
        int rest = choice;
        for (int send = 0; send < sends; ++send, rest /= neighbour_sets) {
            quarantine& owner = owners[static_cast<std::size_t>(send)];
            const verdict may = owner.check("g", start);
            if (may == verdict::refuse) {
                continue;
            }
            std::vector<std::string> in_flight{"g"};
            const int neighbours = may == verdict::apart ? 0 : rest % neighbour_sets;
            if ((neighbours & 1) != 0) {
                in_flight.emplace_back("i");
            }
            if ((neighbours & 2) != 0) {
                in_flight.emplace_back("j");
            }
            ++killed;
            owner.crashed("c" + std::to_string(send), in_flight, start);
            for (quarantine& other : owners) {
                other.merge(owner.digest(start), start);
            }
        }
        BOOST_TEST(killed == 2, "choice " << choice);
        BOOST_TEST((owners[0].check("i", start) != verdict::refuse));
        BOOST_TEST((owners[0].check("j", start) != verdict::refuse));
    }
}

} // namespace pomelohead::outcome
