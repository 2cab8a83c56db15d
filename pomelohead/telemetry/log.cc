#include "pomelohead/telemetry/log.h"

#include "pomelohead/telemetry/line_budget.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <memory>
#include <optional>
#include <sstream>

namespace pomelohead {
namespace {

struct log_state {
    log4cplus::Initializer m_library;
    log4cplus::Logger m_logger = log4cplus::Logger::getRoot();
    std::string m_node;
    line_budget m_request_lines;
    line_budget m_lost_request_lines;
};

std::optional<log_state>& state()
{
    static std::optional<log_state> instance;
    return instance;
}

log4cplus::LogLevel library_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

const char* level_name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "info";
}

// UTC with milliseconds, as in RFC 3339.
std::string timestamp()
{
    using namespace std::chrono;
    const auto now = system_clock::now();
    const std::time_t seconds = system_clock::to_time_t(now);
    const auto millis = duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[sizeof "2000-01-01T00:00:00"];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(millis);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::string(text) + '.' + fraction + 'Z';
}

bool is_written(log_level level)
{
    return state() && state()->m_logger.isEnabledFor(library_level(level));
}

// A pipe that takes PIPE_BUF bytes counts as ready, so that a shorter line does not block.
bool is_output_ready()
{
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&out, 1, 0) > 0 && (out.revents & (POLLERR | POLLNVAL)) == 0;
}

void write_line(line_budget& budget, log_level level, std::string_view event,
                std::initializer_list<log_field> fields)
{
    if (!is_output_ready()) {
        budget.drop();
        return;
    }
    nlohmann::ordered_json line = {{"time", timestamp()},
                                   {"level", level_name(level)},
                                   {"node", state()->m_node},
                                   {"event", event}};
    for (const log_field& field : fields) {
        std::visit([&](const auto& value) { line[std::string(field.name())] = value; },
                   field.value());
    }
    if (const std::uint64_t dropped = budget.take_dropped(); dropped > 0) {
        line["lines_dropped_before"] = dropped;
    }
    constexpr auto replace = nlohmann::ordered_json::error_handler_t::replace;
    std::string text = line.dump(-1, ' ', false, replace);
    state()->m_logger.forcedLog(library_level(level), text);
}

void write_within(line_budget& budget, log_level level, std::string_view event,
                  std::initializer_list<log_field> fields)
{
    if (budget.take(clock_type::now())) {
        write_line(budget, level, event, fields);
    }
}

std::string describe(const std::exception_ptr& failure)
{
    if (!failure) {
        return "terminated without an exception";
    }
    try {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& error) {
        return error.what();
    }
    catch (...) {
        return "an exception of another type";
    }
}

std::terminate_handler& default_terminate_handler()
{
    static std::terminate_handler handler = nullptr;
    return handler;
}

[[noreturn]] void log_and_terminate() noexcept
{
    // A failure of the line itself ends the process without it.
    std::set_terminate(default_terminate_handler());
    const std::exception_ptr failure = std::current_exception();
    log_event(log_level::error, "process_failed", {{"why", describe(failure)}});
    default_terminate_handler()();
    std::abort();
}

} // namespace

void log_unhandled_exceptions()
{
    default_terminate_handler() = std::set_terminate(log_and_terminate);
}

void init_logging(log_level lowest, std::string_view node)
{
    state().emplace();
    state()->m_node = node;
    // The library's threads serve asynchronous appenders only, and cannot be fewer than one.
    std::istringstream properties("log4cplus.threadPoolSize=1\n"
                                  "log4cplus.rootLogger=INFO, console\n"
                                  "log4cplus.appender.console=log4cplus::ConsoleAppender\n"
                                  "log4cplus.appender.console.ImmediateFlush=true\n"
                                  "log4cplus.appender.console.layout=log4cplus::PatternLayout\n"
                                  "log4cplus.appender.console.layout.ConversionPattern=%m%n\n");
    log4cplus::PropertyConfigurator(properties).configure();
    state()->m_logger.setLogLevel(library_level(lowest));
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (is_written(level)) {
        write_line(state()->m_request_lines, level, event, fields);
    }
}

void log_request(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (is_written(level)) {
        write_within(state()->m_request_lines, level, event, fields);
    }
}

void log_lost_request(log_level level, std::string_view event,
                      std::initializer_list<log_field> fields)
{
    if (is_written(level)) {
        write_within(state()->m_lost_request_lines, level, event, fields);
    }
}

std::uint64_t dropped_log_lines()
{
    return state() ? state()->m_request_lines.dropped_in_all() +
                         state()->m_lost_request_lines.dropped_in_all()
                   : 0;
}

} // namespace pomelohead
