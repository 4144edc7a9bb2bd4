#ifndef BLUEBELLSPOKE_SITE_RECORDED_LOG_HPP
#define BLUEBELLSPOKE_SITE_RECORDED_LOG_HPP

#include <string_view>
#include <vector>

#include <log4cplus/helpers/pointer.h>
#include <nlohmann/json.hpp>

namespace bluebellspoke::support
{

/// Keeps the lines that tasks of the test's own process log while this lives.
class recorded_log
{
public:
    recorded_log();
    ~recorded_log();
    recorded_log(const recorded_log&) = delete;
    recorded_log& operator=(const recorded_log&) = delete;

    /// The lines of the events with this name so far.
    std::vector<nlohmann::json> events_named(std::string_view name) const;

    class appender;

private:
    log4cplus::helpers::SharedObjectPtr<appender> m_appender;
};

}

#endif
