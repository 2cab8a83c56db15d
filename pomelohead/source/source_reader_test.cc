#include "pomelohead/source/source_reader.h"

#include "testing/manual_timer_service.h"

#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

namespace pomelohead::source {
namespace {

using namespace std::chrono_literals;

// Records the reads of a reader until the test answers them.
class reader_fixture {
public:
    explicit reader_fixture(reader_options options)
        : m_reader(options, m_timers,
                   {.m_read =
                        [this](const read_request& request,
                               const std::function<void(read_result)>& done) {
                            m_reads.emplace_back(request, done);
                        },
                    .m_on_manifest = [](const std::string&) {},
                    .m_on_hosts = [](std::uint64_t, const std::string&) {},
                    .m_on_section = [](const std::string&, const std::string&) {},
                    .m_on_section_failed = [](const std::string&, const reason&) {},
                    .m_on_unchanged = [] {}},
                   1)
    {
    }

    std::vector<read_request> manifest_reads() const { return reads_of("manifest"); }

    // Unanswered reads of one key.
    std::vector<read_request> reads_of(const std::string& key) const
    {
        std::vector<read_request> result;
        for (const auto& [request, done] : m_reads) {
            if (request.m_key == key) {
                result.push_back(request);
            }
        }
        return result;
    }

    void answer_all(const read_result& answer)
    {
        const auto reads = std::exchange(m_reads, {});
        for (const auto& [request, done] : reads) {
            done(answer);
        }
    }

    testing::manual_timer_service m_timers;
    std::vector<std::pair<read_request, std::function<void(read_result)>>> m_reads;
    source_reader m_reader;
};

const read_result value_answer{
    .m_status = read_status::value, .m_index = 7, .m_bytes = "x", .m_why = {}};

} // namespace

BOOST_AUTO_TEST_SUITE(source_reader_cases)

BOOST_AUTO_TEST_CASE(a_watching_reader_waits_for_changes_by_long_poll)
{
    reader_fixture fixture({.m_long_poll_wait = 30s});
    fixture.m_reader.set_watching(true);
    fixture.m_timers.advance(1ms);
    fixture.answer_all(value_answer);
    fixture.m_timers.advance(1ms);
    const auto reads = fixture.manifest_reads();
    BOOST_REQUIRE_EQUAL(reads.size(), 1U);
    BOOST_TEST((reads[0].m_index == 7U));
    BOOST_TEST((reads[0].m_wait == 30s));
    const auto host_reads = fixture.reads_of("hosts");
    BOOST_REQUIRE_EQUAL(host_reads.size(), 1U);
    BOOST_TEST((host_reads[0].m_index == 7U));
    BOOST_TEST((host_reads[0].m_wait == 30s));
}

BOOST_AUTO_TEST_CASE(a_polling_reader_reads_once_per_period_without_waiting)
{
    reader_fixture fixture({.m_poll_period = 2s});
    fixture.m_reader.set_watching(true);
    fixture.m_timers.advance(1ms);
    BOOST_TEST(fixture.manifest_reads().size() == 1U);
    for (int i = 0; i < 3; ++i) {
        fixture.answer_all(value_answer);
        fixture.m_timers.advance(1'990ms);
        BOOST_TEST(fixture.manifest_reads().empty());
        fixture.m_timers.advance(20ms);
        const auto reads = fixture.manifest_reads();
        BOOST_REQUIRE_EQUAL(reads.size(), 1U);
        BOOST_TEST((reads[0].m_index == 7U));
        BOOST_TEST((reads[0].m_wait == 0s));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomelohead::source
