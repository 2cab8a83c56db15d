#include "pomelohead/telemetry/metrics.h"

#include <cmath>
#include <sstream>

namespace pomelohead {
namespace {

constexpr const char* prefix = "pomelohead_";
constexpr const char* latency_name = "request_latency_ms";

std::string escape(const std::string& value)
{
    std::string out;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out;
}

std::string label_text(const metric_labels& labels)
{
    std::string out;
    for (const auto& [name, value] : labels) {
        out += out.empty() ? "" : ",";
        out += name + "=\"" + escape(value) + '"';
    }
    return out;
}

void write_sample(std::ostream& out, const std::string& name, const std::string& labels,
                  double value)
{
    out << prefix << name;
    if (!labels.empty()) {
        out << '{' << labels << '}';
    }
    out << ' ' << value << '\n';
}

void write_histogram(std::ostream& out, const latency_key& key, const latency_histogram& histogram)
{
    const std::string labels = label_text({{"account", key.m_account}, {"class", key.m_class}});
    const std::string name = latency_name;
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < latency_histogram::bucket_count; ++i) {
        below += histogram.bucket(i);
        const bool last = i + 1 == latency_histogram::bucket_count;
        if (histogram.bucket(i) == 0 && !last) {
            continue;
        }
        std::ostringstream bound;
        bound << latency_histogram::upper_bound_ms(i);
        write_sample(out, name + "_bucket", labels + ",le=\"" + (last ? "+Inf" : bound.str()) + '"',
                     static_cast<double>(below));
    }
    write_sample(out, name + "_sum", labels, histogram.sum_ms());
    write_sample(out, name + "_count", labels, static_cast<double>(histogram.count()));
}

} // namespace

void metrics::add(const std::string& name, const metric_labels& labels, double amount)
{
    m_counters[name][label_text(labels)] += amount;
}

void metrics::gauge(const std::string& name, std::function<double()> read)
{
    m_gauges[name] = std::move(read);
}

latency_histogram& metrics::request_latency(const std::string& account,
                                            const std::string& work_class)
{
    return m_latencies[{account, work_class}];
}

double metrics::counter(const std::string& name, const metric_labels& labels) const
{
    const auto family = m_counters.find(name);
    if (family == m_counters.end()) {
        return 0;
    }
    const auto sample = family->second.find(label_text(labels));
    return sample == family->second.end() ? 0 : sample->second;
}

std::string metrics::prometheus_text() const
{
    std::ostringstream out;
    for (const auto& [name, samples] : m_counters) {
        out << "# TYPE " << prefix << name << " counter\n";
        for (const auto& [labels, value] : samples) {
            write_sample(out, name, labels, value);
        }
    }
    for (const auto& [name, read] : m_gauges) {
        out << "# TYPE " << prefix << name << " gauge\n";
        write_sample(out, name, {}, read());
    }
    if (!m_latencies.empty()) {
        out << "# TYPE " << prefix << latency_name << " histogram\n";
        for (const auto& [key, histogram] : m_latencies) {
            write_histogram(out, key, histogram);
        }
    }
    return out.str();
}

} // namespace pomelohead
