#include "pomelohead/telemetry/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>
#include <memory>
#include <optional>
#include <sstream>

namespace pomelohead {
namespace {

struct log_state {
    log4cplus::Initializer m_library;
    log4cplus::Logger m_logger = log4cplus::Logger::getRoot();
    std::string m_node;
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

} // namespace

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
    if (!state() || !state()->m_logger.isEnabledFor(library_level(level))) {
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
    constexpr auto replace = nlohmann::ordered_json::error_handler_t::replace;
    state()->m_logger.forcedLog(library_level(level), line.dump(-1, ' ', false, replace));
}

} // namespace pomelohead
