// The counters and histograms of one node.
//
//     metrics m;
//     m.add("requests_total", {{"outcome", "complete"}});
//     m.request_latency("gwynedd", "short").record(4ms);
//     std::string page = m.prometheus_text();
#pragma once

#include "pomelohead/telemetry/latency_histogram.h"

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace pomelohead {

using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Whose requests a latency histogram counts.
struct latency_key {
    std::string m_account;
    std::string m_class; ///< "short" or "long"

    bool operator==(const latency_key&) const = default;
    bool operator<(const latency_key& other) const
    {
        return std::tie(m_account, m_class) < std::tie(other.m_account, other.m_class);
    }
};

/// Named counters, gauges read at the time of asking, and latency histograms.
class metrics {
public:
    /// Adds to a counter, made at its first use. Names lack the common prefix.
    void add(const std::string& name, const metric_labels& labels = {}, double amount = 1);

    /// Shows `read` under `name` at each request for the page.
    void gauge(const std::string& name, std::function<double()> read);

    /// The histogram of one account and class, made at its first use.
    latency_histogram& request_latency(const std::string& account, const std::string& work_class);

    [[nodiscard]] const std::map<latency_key, latency_histogram>& latencies() const
    {
        return m_latencies;
    }

    /// The value of a counter; 0 where it was never added to.
    [[nodiscard]] double counter(const std::string& name, const metric_labels& labels = {}) const;

    /// All of it in Prometheus's text format, each name behind "pomelohead_".
    [[nodiscard]] std::string prometheus_text() const;

private:
    std::map<std::string, std::map<std::string, double>> m_counters;
    std::map<std::string, std::function<double()>> m_gauges;
    std::map<latency_key, latency_histogram> m_latencies;
};

} // namespace pomelohead
