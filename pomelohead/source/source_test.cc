// Rate limit, backoff and scheduling of reads of the source.
#include "pomelohead/source/backoff.h"
#include "pomelohead/source/source_reader.h"
#include "pomelohead/source/token_bucket.h"
#include "testing/fake_source.h"
#include "testing/manual_timer_service.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::source {

using namespace std::chrono_literals;
using testing::fake_source;
using testing::manual_timer_service;
using testing::source_mode;

BOOST_AUTO_TEST_CASE(a_token_bucket_limits_bursts_and_the_long_term_rate)
{
    struct bucket_case {
        const char* m_name;
        duration m_at;
        int m_attempts;
        int m_granted;
    };
    // Capacity 4, 2 tokens a second; each case continues from the state of the one before.
    const bucket_case cases[] = {
        {"full at first", 0s, 6, 4},
        {"half a second adds one", 500ms, 3, 1},
        {"a second adds two", 1500ms, 5, 2},
        {"a long pause fills it to its capacity", 1min, 9, 4},
        {"an earlier time adds none", 30s, 3, 0},
    };
    const time_point start{};
    token_bucket bucket(4, 2, start);
    for (const bucket_case& c : cases) {
        BOOST_TEST_CONTEXT(c.m_name)
        {
            int granted = 0;
            for (int i = 0; i < c.m_attempts; ++i) {
                granted += bucket.try_take(start + c.m_at) ? 1 : 0;
            }
            BOOST_TEST(granted == c.m_granted);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_token_is_available_after_the_reported_time)
{
    const time_point start{};
    token_bucket bucket(1, 3, start);
    time_point now = start;
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(bucket.try_take(now));
        BOOST_TEST(!bucket.try_take(now));
        now += bucket.time_until_token(now);
    }
}

BOOST_AUTO_TEST_CASE(backoff_doubles_to_its_limit_and_jitters_over_the_whole_bound)
{
    std::mt19937_64 random(1);
    backoff retry({.m_initial_bound = 200ms, .m_max_bound = 15s});
    const milliseconds bounds[] = {200ms, 400ms, 800ms, 1600ms, 3200ms, 6400ms, 12800ms, 15s, 15s};
    for (const milliseconds bound : bounds) {
        BOOST_TEST((retry.bound() == bound));
        BOOST_TEST((retry.next(random) <= bound));
    }
    for (int i = 0; i < 100; ++i) {
        static_cast<void>(retry.next(random));
    }
    duration shortest = 15s;
    duration longest = 0s;
    for (int i = 0; i < 1'000; ++i) {
        const duration wait = retry.next(random);
        shortest = std::min(shortest, wait);
        longest = std::max(longest, wait);
    }
    BOOST_TEST((shortest < 1s && longest > 14s));
    retry.reset();
    BOOST_TEST((retry.bound() == 200ms));
}

namespace {

// A reader of a fake source, and the results that it reported.
struct reader_fixture {
    manual_timer_service m_timers;
    fake_source m_source{m_timers};
    std::vector<std::string> m_manifests;
    std::vector<std::string> m_sections;
    int m_failed_sections = 0;
    int m_confirmed = 0;
    source_reader m_reader{
        {.m_burst = 10, .m_reads_per_s = 1},
        m_timers,
        {.m_read =
             [this](const read_request& request, std::function<void(read_result)> done) {
                 m_source.read(request, std::move(done));
             },
         .m_on_manifest = [this](const std::string& bytes) { m_manifests.push_back(bytes); },
         .m_on_hosts = [](std::uint64_t, const std::string&) {},
         .m_on_section = [this](const std::string& hash,
                                const std::string&) { m_sections.push_back(hash); },
         .m_on_section_failed = [this](const std::string&, const reason&) { ++m_failed_sections; },
         .m_on_unchanged = [this] { ++m_confirmed; }},
        1};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_watching_reader_gets_each_change_with_one_read, reader_fixture)
{
    m_source.put("manifest", "1");
    m_reader.set_watching(true);
    m_timers.advance(1s);
    const std::size_t before = m_source.calls();
    m_source.put("manifest", "2");
    m_timers.advance(1s);
    BOOST_TEST(m_manifests.size() == 2U);
    BOOST_TEST(m_manifests.back() == "2");
    BOOST_TEST(m_source.calls() == before + 1);
}

BOOST_FIXTURE_TEST_CASE(an_idle_watch_makes_one_read_per_long_poll, reader_fixture)
{
    m_source.put("manifest", "1");
    m_reader.set_watching(true);
    m_timers.advance(1s);
    const std::size_t before = m_source.calls();
    m_timers.advance(10min);
    const reader_options options;
    const auto long_polls = static_cast<std::size_t>(10min / options.m_long_poll_wait);
    const std::size_t host_reads = long_polls;
    BOOST_TEST(m_source.calls() - before <= long_polls + host_reads + 1);
    BOOST_TEST(m_confirmed >= static_cast<int>(long_polls) - 1);
}

BOOST_FIXTURE_TEST_CASE(reads_of_an_unavailable_source_back_off, reader_fixture)
{
    m_source.set_mode(source_mode::down);
    m_reader.set_watching(true);
    m_timers.advance(1min);
    BOOST_TEST(m_reader.status().m_state == "down");
    const std::size_t before = m_source.calls();
    m_timers.advance(10min);
    // Full jitter with a bound of 15 s: one read every 7.5 s on average, plus the host list.
    constexpr std::size_t bound = 2 * 80 + 20;
    BOOST_TEST(m_source.calls() - before <= bound);
    m_source.set_mode(source_mode::up);
    m_source.put("manifest", "1");
    m_timers.advance(15s);
    BOOST_TEST(m_manifests.size() == 1U);
    BOOST_TEST(m_reader.status().m_state == "up");
}

BOOST_FIXTURE_TEST_CASE(section_reads_are_rate_limited, reader_fixture)
{
    constexpr int sections = 30;
    for (int i = 0; i < sections; ++i) {
        m_source.put("sections/" + std::to_string(i), "{}");
    }
    for (int i = 0; i < sections; ++i) {
        m_reader.fetch_section(std::to_string(i));
        m_reader.fetch_section(std::to_string(i));
    }
    m_timers.advance(900ms);
    BOOST_TEST(m_sections.size() == 10U); // the burst
    m_timers.advance(5s);
    BOOST_TEST(m_sections.size() == 15U); // one a second
    m_timers.advance(30s);
    BOOST_TEST(m_sections.size() == static_cast<std::size_t>(sections));
}

BOOST_FIXTURE_TEST_CASE(an_absent_section_is_reported_as_failed, reader_fixture)
{
    m_reader.fetch_section("none");
    m_timers.advance(1s);
    BOOST_TEST(m_failed_sections == 1);
}

BOOST_FIXTURE_TEST_CASE(answers_from_before_a_restart_are_ignored, reader_fixture)
{
    m_source.put("manifest", "1");
    m_source.set_delay(3s);
    m_reader.set_watching(true);
    m_timers.advance(1s);
    m_reader.restart();
    m_timers.advance(2500ms);
    BOOST_TEST(m_manifests.empty());
    m_timers.advance(2s);
    BOOST_TEST(m_manifests.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(nothing_is_read_after_stop, reader_fixture)
{
    m_source.put("manifest", "1");
    m_reader.set_watching(true);
    m_timers.advance(1s);
    m_reader.stop();
    const std::size_t before = m_source.calls();
    m_timers.advance(10min);
    BOOST_TEST(m_source.calls() == before);
}

} // namespace pomelohead::source
