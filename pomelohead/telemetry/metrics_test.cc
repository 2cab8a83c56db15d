#include "pomelohead/telemetry/metrics.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(quantiles_are_exact_to_one_bucket)
{
    latency_histogram histogram;
    for (int i = 1; i <= 1000; ++i) {
        histogram.record(std::chrono::milliseconds(i));
    }
    for (const double q : {0.01, 0.5, 0.9, 0.99, 1.0}) {
        const double exact = q * 1000;
        BOOST_TEST(histogram.quantile_ms(q) >= exact);
        BOOST_TEST(histogram.quantile_ms(q) <= exact * 1.25);
    }
    BOOST_TEST(histogram.count() == 1000U);
    BOOST_TEST(latency_histogram().quantile_ms(0.5) == 0);
}

BOOST_AUTO_TEST_CASE(very_long_latencies_fall_in_the_last_bucket)
{
    latency_histogram histogram;
    histogram.record(10000h);
    BOOST_TEST(histogram.bucket(latency_histogram::bucket_count - 1) == 1U);
    BOOST_TEST(histogram.quantile_ms(0.5) == histogram.max_ms());
}

BOOST_AUTO_TEST_CASE(the_page_shows_counters_gauges_and_histograms)
{
    metrics m;
    m.add("requests_total", {{"outcome", "complete"}});
    m.add("requests_total", {{"outcome", "complete"}}, 2);
    m.gauge("config_age_s", [] { return 4.0; });
    m.request_latency("say \"hi\"", "short").record(1ms);
    const std::string page = m.prometheus_text();
    for (const char* line :
         {"pomelohead_requests_total{outcome=\"complete\"} 3\n", "pomelohead_config_age_s 4\n",
          "account=\"say \\\"hi\\\"\"", "le=\"+Inf\"} 1\n"}) {
        BOOST_TEST_CONTEXT(line)
        {
            BOOST_TEST(page.find(line) != std::string::npos);
        }
    }
}

} // namespace pomelohead
