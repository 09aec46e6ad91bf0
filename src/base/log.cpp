#include "base/log.h"

#include <memory>

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "base/hash.h"
#include "base/log_writer.h"
#include "base/runtime_clock.h"

namespace radishstep {

namespace {

log4cplus::Initializer& log_library()
{
    static log4cplus::Initializer initializer;
    return initializer;
}

log4cplus::Logger process_logger()
{
    log_library();
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("radishstep"));
}

bool needs_quotes(const std::string& value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string::npos;
}

std::string quoted(const std::string& value)
{
    std::string text = "\"";
    for (const char letter : value) {
        if (letter == '"' || letter == '\\')
            text += '\\';
        text += letter == '\n' || letter == '\r' ? ' ' : letter;
    }
    return text + "\"";
}

std::string format_line(std::string_view line_kind, std::string_view name, std::initializer_list<log_field> fields)
{
    std::string line = std::string{line_kind} + "=" + std::string{name};
    for (const auto& [key, value] : fields)
        line += " " + std::string{key} + "=" + (needs_quotes(value) ? quoted(value) : value);
    return line;
}

struct bounded_log
{
    std::string process;
    log_writer writer;
};

std::unique_ptr<bounded_log>& bounded_log_instance()
{
    static std::unique_ptr<bounded_log> instance;
    return instance;
}

void push_to_bounded_log(std::string_view level, const std::string& line, bool is_state)
{
    std::string stamped = "time_ms=" + std::to_string(wall_clock_ms()) + " level=" + std::string{level} +
                          " process=" + bounded_log_instance()->process + " " + line;
    bounded_log_instance()->writer.push(std::move(stamped), is_state, runtime_clock::now());
}

void set_console_appender(bool log_to_stderr, const std::string& pattern, const std::string& level)
{
    constexpr bool flush_each_line = true;
    log4cplus::SharedAppenderPtr console{new log4cplus::ConsoleAppender{log_to_stderr, flush_each_line}};
    console->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger logger = process_logger();
    logger.removeAllAppenders();
    logger.addAppender(console);
    logger.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

} // namespace

void start_log(const std::string& process, const std::string& level)
{
    log_library();
    set_console_appender(true, "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + process + " %m%n", level);
}

void start_bounded_log(const std::string& process, const std::string& level)
{
    log_library();
    set_console_appender(false, "%m%n", level);
    const auto write = [](const std::string& lines) { LOG4CPLUS_INFO(process_logger(), lines); };
    bounded_log_instance() = std::unique_ptr<bounded_log>{new bounded_log{process, {write, log_limits{}}}};
}

void stop_bounded_log()
{
    bounded_log_instance() = nullptr;
}

void log_state(std::string_view state, std::initializer_list<log_field> fields)
{
    const std::string line = format_line("state", state, fields);
    if (bounded_log_instance())
        return push_to_bounded_log("INFO", line, true);
    LOG4CPLUS_INFO(process_logger(), line);
}

void log_problem(std::string_view state, std::initializer_list<log_field> fields)
{
    const std::string line = format_line("state", state, fields);
    if (bounded_log_instance())
        return push_to_bounded_log("WARN", line, true);
    LOG4CPLUS_WARN(process_logger(), line);
}

void log_decision(std::string_view decision, std::initializer_list<log_field> fields)
{
    if (bounded_log_instance())
        push_to_bounded_log("INFO", format_line("decision", decision, fields), false);
}

bool is_sampled(std::string_view request_id)
{
    constexpr std::uint64_t requests_per_sample = 16;
    return hash64(request_id) % requests_per_sample == 0;
}

} // namespace radishstep
