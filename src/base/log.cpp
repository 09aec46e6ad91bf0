#include "base/log.h"

#include <memory>

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace radishstep {

namespace {

log4cplus::Initializer& library()
{
    static log4cplus::Initializer initializer;
    return initializer;
}

log4cplus::Logger process_logger()
{
    library();
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

std::string format_line(std::string_view state, std::initializer_list<log_field> fields)
{
    std::string line = "state=" + std::string{state};
    for (const auto& [key, value] : fields)
        line += " " + std::string{key} + "=" + (needs_quotes(value) ? quoted(value) : value);
    return line;
}

} // namespace

void start_log(const std::string& process, const std::string& level)
{
    library();
    constexpr bool log_to_stderr = true;
    constexpr bool flush_each_line = true;
    log4cplus::SharedAppenderPtr console{new log4cplus::ConsoleAppender{log_to_stderr, flush_each_line}};
    const std::string pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + process + " %m%n";
    console->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger logger = process_logger();
    logger.removeAllAppenders();
    logger.addAppender(console);
    logger.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

void log_state(std::string_view state, std::initializer_list<log_field> fields)
{
    LOG4CPLUS_INFO(process_logger(), format_line(state, fields));
}

void log_problem(std::string_view state, std::initializer_list<log_field> fields)
{
    LOG4CPLUS_WARN(process_logger(), format_line(state, fields));
}

} // namespace radishstep
