// Collects the log lines of one request from the logs of several nodes.
//
//     request_trace trace("80ff1a9c0de8ec9a", 2s);
//     std::ifstream log("dolgellau-1.log");
//     trace.read(log);
//     trace.finish_reading();                          // the second pass begins
//     ... read the same logs again for what happened around the request ...
//     std::cout << to_text(trace.lines());
#pragma once

#include "pomelohead/runtime/timer_service.h"

#include <iosfwd>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelohead::cli {

/// One log line of a trace.
struct trace_line {
    std::int64_t m_time_ms = 0; ///< Unix time
    std::string m_node;
    std::string m_event;
    std::string m_fields; ///< name=value, as in the line
    bool m_is_own = true; ///< has the request's id; otherwise a context line

    bool operator==(const trace_line&) const = default;
};

/// Collects the lines that name a request and, in a second pass over the logs, what the
/// nodes in them said in general from `context` before the first to `context` after the
/// last of them.
class request_trace {
public:
    request_trace(std::string id, milliseconds context)
        : m_id(std::move(id)), m_context_ms(context.count())
    {
    }

    /// Reads one log. Skips lines that are not log events of a node.
    void read(std::istream& log);

    /// Ends the first pass.
    void finish_reading();

    /// All lines so far, by time; lines of one time stay in the order of reading.
    [[nodiscard]] std::vector<trace_line> lines() const;

    [[nodiscard]] bool is_found() const { return !m_lines.empty(); }

private:
    void add_request_line(const std::string& text);
    void add_context_line(const std::string& text);

    std::string m_id;
    std::int64_t m_context_ms;
    bool m_is_second_pass = false;
    std::int64_t m_from_ms = 0;
    std::int64_t m_until_ms = 0;
    std::set<std::string> m_nodes;
    std::vector<trace_line> m_lines;
};

/// One line of text each; lines around the request are indented.
[[nodiscard]] std::string to_text(const std::vector<trace_line>& lines);

/// The milliseconds since 1970 of a log line's time, such as 2026-09-12T01:10:36.667Z.
[[nodiscard]] std::optional<std::int64_t> parse_log_time(const std::string& text);

} // namespace pomelohead::cli
