#include "pomelohead/cli/trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <istream>
#include <optional>

namespace pomelohead::cli {
namespace {

using json = nlohmann::ordered_json;

constexpr std::int64_t ms_per_s = 1'000;

std::string text_of(const json& line, const char* name)
{
    const auto it = line.find(name);
    return it == line.end() ? "" : it->is_string() ? it->get<std::string>() : it->dump();
}

// The line's fields but for those that every line has.
std::string fields_of(const json& line)
{
    std::string out;
    for (const auto& [name, value] : line.items()) {
        if (name != "time" && name != "level" && name != "node" && name != "event") {
            out += (out.empty() ? "" : " ") + name + "=" + value.dump();
        }
    }
    return out;
}

std::optional<trace_line> parse_line(const std::string& text, json& line)
{
    line = json::parse(text, nullptr, false);
    if (!line.is_object()) {
        return std::nullopt;
    }
    const auto time = parse_log_time(text_of(line, "time"));
    if (!time) {
        return std::nullopt;
    }
    return trace_line{*time, text_of(line, "node"), text_of(line, "event"), fields_of(line), true};
}

} // namespace

std::optional<std::int64_t> parse_log_time(const std::string& text)
{
    std::tm parts{};
    int millis = 0;
    char end = 0;
    if (std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3d%c", &parts.tm_year, &parts.tm_mon,
                    &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &millis,
                    &end) != 8 ||
        end != 'Z') {
        return std::nullopt;
    }
    constexpr int first_year = 1900;
    parts.tm_year -= first_year;
    parts.tm_mon -= 1;
    return static_cast<std::int64_t>(timegm(&parts)) * ms_per_s + millis;
}

void request_trace::read(std::istream& log)
{
    std::string text;
    while (std::getline(log, text)) {
        // Logs may come with something before the line, such as a collector's prefix.
        const std::size_t start = text.find('{');
        if (start == std::string::npos) {
            continue;
        }
        text.erase(0, start);
        if (m_is_second_pass) {
            add_context_line(text);
        }
        else if (text.find(m_id) != std::string::npos) {
            add_request_line(text);
        }
    }
}

void request_trace::add_request_line(const std::string& text)
{
    json line;
    const auto found = parse_line(text, line);
    if (!found || text_of(line, "id") != m_id) {
        return;
    }
    m_from_ms = m_lines.empty() ? found->m_time_ms : std::min(m_from_ms, found->m_time_ms);
    m_until_ms = std::max(m_until_ms, found->m_time_ms);
    m_nodes.insert(found->m_node);
    m_lines.push_back(*found);
}

void request_trace::finish_reading()
{
    m_is_second_pass = true;
    m_from_ms -= m_context_ms;
    m_until_ms += m_context_ms;
}

void request_trace::add_context_line(const std::string& text)
{
    json line;
    auto found = parse_line(text, line);
    if (!found || line.contains("id") || found->m_time_ms < m_from_ms ||
        found->m_time_ms > m_until_ms || !m_nodes.contains(found->m_node)) {
        return;
    }
    found->m_is_own = false;
    m_lines.push_back(std::move(*found));
}

std::vector<trace_line> request_trace::lines() const
{
    std::vector<trace_line> sorted = m_lines;
    std::ranges::stable_sort(sorted, {}, &trace_line::m_time_ms);
    return sorted;
}

std::string to_text(const std::vector<trace_line>& lines)
{
    std::string out;
    for (const trace_line& line : lines) {
        const std::time_t seconds = line.m_time_ms / ms_per_s;
        std::tm parts{};
        gmtime_r(&seconds, &parts);
        char clock[sizeof "00:00:00"];
        std::strftime(clock, sizeof clock, "%H:%M:%S", &parts);
        std::string millis = std::to_string(line.m_time_ms % ms_per_s);
        millis.insert(0, 3 - millis.size(), '0');
        out += std::string(line.m_is_own ? "" : "    ") + clock + "." + millis + " " + line.m_node +
               " " + line.m_event + (line.m_fields.empty() ? "" : " " + line.m_fields) + "\n";
    }
    return out;
}

} // namespace pomelohead::cli
