// Log lines as JSON objects, one per line, on standard output.
//
//     init_logging(log_level::info, "dolgellau-1");
//     log_event(log_level::warning, "version_refused",
//               {{"version", 12}, {"why", why.m_text}});
//
// writes {"time":"...","level":"warning","node":"dolgellau-1",
// "event":"version_refused","version":12,"why":"..."}.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace pomelohead {

enum class log_level { debug, info, warning, error };

/// One named value of a log line.
class log_field {
public:
    using value_type = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

    log_field(std::string_view name, std::string_view value)
        : m_name(name), m_value(std::string(value))
    {
    }
    log_field(std::string_view name, const std::string& value) : m_name(name), m_value(value) {}
    log_field(std::string_view name, const char* value) : m_name(name), m_value(std::string(value))
    {
    }
    log_field(std::string_view name, bool value) : m_name(name), m_value(value) {}
    log_field(std::string_view name, double value) : m_name(name), m_value(value) {}
    template <class Integer>
    requires std::is_integral_v<Integer> log_field(std::string_view name, Integer value)
        : m_name(name)
    {
        if constexpr (std::is_signed_v<Integer>) {
            m_value = static_cast<std::int64_t>(value);
        }
        else {
            m_value = static_cast<std::uint64_t>(value);
        }
    }

    [[nodiscard]] std::string_view name() const { return m_name; }
    [[nodiscard]] const value_type& value() const { return m_value; }

private:
    std::string_view m_name;
    value_type m_value;
};

/// Sets the lowest level written and the node's name on each line. Call once;
/// before it, nothing is written.
void init_logging(log_level lowest, std::string_view node);

/// Lets a process that an unhandled exception ends write a line `process_failed` with the
/// exception's text first. It still ends as without the line.
void log_unhandled_exceptions();

/// Writes one line. `event` is a fixed lower_case word that tools can search for. A line is
/// dropped and counted where the standard output takes no bytes now.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

/// The same for a line about one request, within the node's line budget (line_budget.h).
void log_request(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// The same for a request whose connection ended before its response, within a budget of its own:
/// refusals, of which an overloaded node writes many, do not take its place.
void log_lost_request(log_level level, std::string_view event,
                      std::initializer_list<log_field> fields);

/// Lines that were not written since the start.
[[nodiscard]] std::uint64_t dropped_log_lines();

} // namespace pomelohead
