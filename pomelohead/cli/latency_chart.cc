// The node's buckets are finer than a terminal has lines; they are added up into
// ranges whose bounds double.
#include "pomelohead/cli/latency_chart.h"

#include "pomelohead/cli/text_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace pomelohead::cli {
namespace {

using json = nlohmann::json;

constexpr std::size_t bar_characters = 50;
constexpr std::string_view block = "█";

// The range of a bucket without an upper bound, above all others.
constexpr int open_range = 1'000;

// About 30 microseconds, and 12 days: a page with other bounds draws no more lines.
constexpr int lowest_range = -5;
constexpr int highest_range = 30;

std::string milliseconds_text(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, value < 10 ? "%.3g ms" : "%.0f ms", value);
    return text;
}

// n for a range that ends at 2^n ms.
int range_of(const latency_bucket& bucket)
{
    if (!bucket.m_upper_ms || *bucket.m_upper_ms <= 0) {
        return open_range;
    }
    const int range = static_cast<int>(std::ceil(std::log2(*bucket.m_upper_ms)));
    return std::clamp(range, lowest_range, highest_range);
}

std::string range_text(int range)
{
    return range == open_range ? "above" : "to " + milliseconds_text(std::exp2(range));
}

std::string bar(std::uint64_t count, std::uint64_t largest)
{
    if (count == 0) {
        return {};
    }
    const double share = static_cast<double>(count) / static_cast<double>(largest);
    const auto length = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::lround(share * static_cast<double>(bar_characters))));
    std::string text;
    for (std::size_t i = 0; i < length; ++i) {
        text += block;
    }
    return text;
}

latency_series series_from(const json& value)
{
    latency_series series{.m_account = value.at("account").get<std::string>(),
                          .m_class = value.at("class").get<std::string>(),
                          .m_count = value.at("count").get<std::uint64_t>(),
                          .m_p50_ms = value.value("p50_ms", 0.0),
                          .m_p99_ms = value.value("p99_ms", 0.0),
                          .m_buckets = {}};
    for (const json& item : value.at("buckets")) {
        const json& upper = item.at("le_ms");
        series.m_buckets.push_back(
            {.m_upper_ms = upper.is_number() ? std::optional(upper.get<double>()) : std::nullopt,
             .m_count = item.at("count").get<std::uint64_t>()});
    }
    return series;
}

} // namespace

std::optional<std::vector<latency_series>> parse_latency(std::string_view text, reason& why)
{
    try {
        std::vector<latency_series> all;
        const json page = json::parse(text);
        for (const json& item : page.at("histograms")) {
            all.push_back(series_from(item));
        }
        return all;
    }
    catch (const json::exception& error) {
        why = {reason_code::malformed,
               std::string("the latency page is not usable: ") + error.what()};
        return std::nullopt;
    }
}

std::string draw(const latency_series& series)
{
    std::map<int, std::uint64_t> ranges;
    for (const latency_bucket& bucket : series.m_buckets) {
        if (bucket.m_count > 0) {
            ranges[range_of(bucket)] += bucket.m_count;
        }
    }
    std::string text = series.m_account + ", " + series.m_class + ": " +
                       std::to_string(series.m_count) + " requests, p50 " +
                       milliseconds_text(series.m_p50_ms) + ", p99 " +
                       milliseconds_text(series.m_p99_ms) + '\n';
    if (ranges.empty()) {
        return text;
    }
    std::uint64_t largest = 0;
    for (const auto& [range, count] : ranges) {
        largest = std::max(largest, count);
    }
    // Ranges without a latency between two that have some are drawn, too.
    const int first = ranges.begin()->first;
    const int last = ranges.rbegin()->first;
    const int last_closed =
        last == open_range && ranges.size() > 1 ? std::prev(ranges.end(), 2)->first : last;
    for (int range = first; range <= last_closed; ++range) {
        ranges.try_emplace(range, 0);
    }
    for (const auto& [range, count] : ranges) {
        std::string line = "  " + padded(range_text(range), 12);
        line += padded(std::to_string(count), 9) + bar(count, largest);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

} // namespace pomelohead::cli
