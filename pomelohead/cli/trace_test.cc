#include "pomelohead/cli/trace.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

namespace pomelohead::cli {
namespace {

using namespace std::chrono_literals;

constexpr const char* entry_log =
    R"({"time":"2026-09-12T01:10:34.000Z","level":"info","node":"a-1","event":"store_lost","why":"x"}
{"time":"2026-09-12T01:10:36.600Z","level":"info","node":"a-1","event":"request","id":"other","status":200}
{"time":"2026-09-12T01:10:36.667Z","level":"info","node":"a-1","event":"request","id":"r1","status":503}
not a log line, r1
{"time":"2026-09-12T01:10:36.667Z","level":"info","node":"a-1","event":"request","id":"r10"}
{"time":"2026-09-12T01:10:50.000Z","level":"info","node":"a-1","event":"store_reached"}
)";
constexpr const char* owner_log =
    R"(prefix {"time":"2026-09-12T01:10:36.660Z","level":"info","node":"b-2","event":"owner_request","id":"r1","reason":"overloaded"}
{"time":"2026-09-12T01:10:36.100Z","level":"warning","node":"b-2","event":"target_crashed","target":"t"}
)";
constexpr const char* uninvolved_log =
    R"({"time":"2026-09-12T01:10:36.100Z","level":"warning","node":"c-3","event":"target_crashed"}
)";

std::string trace_text(milliseconds context)
{
    request_trace trace("r1", context);
    for (int pass = 0; pass < (context > 0ms ? 2 : 1); ++pass) {
        for (const char* text : {entry_log, owner_log, uninvolved_log}) {
            std::istringstream log(text);
            trace.read(log);
        }
        if (pass == 0) {
            trace.finish_reading();
        }
    }
    return to_text(trace.lines());
}

} // namespace

BOOST_AUTO_TEST_CASE(lines_that_name_the_request_come_in_order_of_time)
{
    BOOST_TEST(trace_text(0ms) == "01:10:36.660 b-2 owner_request id=\"r1\" reason=\"overloaded\"\n"
                                  "01:10:36.667 a-1 request id=\"r1\" status=503\n");
}

BOOST_AUTO_TEST_CASE(what_happened_around_it_on_the_nodes_involved_is_indented)
{
    BOOST_TEST(trace_text(3s) == "    01:10:34.000 a-1 store_lost why=\"x\"\n"
                                 "    01:10:36.100 b-2 target_crashed target=\"t\"\n"
                                 "01:10:36.660 b-2 owner_request id=\"r1\" reason=\"overloaded\"\n"
                                 "01:10:36.667 a-1 request id=\"r1\" status=503\n");
}

BOOST_AUTO_TEST_CASE(times_are_read_or_refused)
{
    BOOST_TEST(parse_log_time("1970-01-01T00:00:01.002Z").value() == 1'002);
    BOOST_TEST(parse_log_time("2026-09-12T01:10:36.667Z").value() == 1'789'175'436'667);
    for (const char* bad : {"", "yesterday", "2026-09-12T01:10:36Z", "2026-09-12T01:10:36.667"}) {
        BOOST_TEST(!parse_log_time(bad));
    }
}

BOOST_AUTO_TEST_CASE(an_unknown_request_is_not_found)
{
    request_trace trace("r2", 0ms);
    std::istringstream log(entry_log);
    trace.read(log);
    BOOST_TEST(!trace.is_found());
}

} // namespace pomelohead::cli
