#include "recorded_log.hpp"

#include <mutex>
#include <string>

#include <log4cplus/appender.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <report/event.hpp>

namespace bluebellspoke::support
{

class recorded_log::appender : public log4cplus::Appender
{
public:
    ~appender() override
    {
        destructorImpl();
    }

    void close() override
    {
        closed = true;
    }

    std::vector<std::string> lines() const
    {
        const std::lock_guard lock(m_mutex);
        return m_lines;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        const std::lock_guard lock(m_mutex);
        m_lines.push_back(event.getMessage());
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

namespace
{

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance("bluebellspoke");
}

}

recorded_log::recorded_log() : m_appender(new appender)
{
    start_log("test");
    logger().addAppender(log4cplus::SharedAppenderPtr(m_appender.get()));
}

recorded_log::~recorded_log()
{
    logger().removeAllAppenders();
}

std::vector<nlohmann::json>
recorded_log::events_named(std::string_view name) const
{
    std::vector<nlohmann::json> found;
    for (const std::string& text : m_appender->lines())
        if (nlohmann::json line = nlohmann::json::parse(text);
            line.at("name") == name)
            found.push_back(std::move(line));
    return found;
}

}
