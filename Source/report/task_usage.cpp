#include <report/task_usage.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include <sys/resource.h>

#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

constexpr double milliseconds = 1000;

std::string whole_milliseconds(double seconds)
{
    return std::to_string(std::lround(seconds * milliseconds));
}

}

double thread_processor_seconds() noexcept
{
    constexpr double microseconds = 1e6;
    rusage used{};
    getrusage(RUSAGE_THREAD, &used);
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) /
               microseconds;
}

void note_tick(task_usage& u, time_point now)
{
    if (u.m_ticked_at != time_point{})
        u.m_latest = std::max(u.m_latest, now - u.m_ticked_at - u.m_tick);
    else
        u.m_logged_at = now;
    u.m_ticked_at = now;
    if (now - u.m_logged_at < usage_period)
        return;
    const double used = thread_processor_seconds();
    log_event(
        event_id::task_usage,
        {{"task", std::string(u.m_task)},
         {"processor_ms", whole_milliseconds(used - u.m_logged_seconds)},
         {"period_ms", whole_milliseconds(to_seconds(now - u.m_logged_at))},
         {"latest_ms", whole_milliseconds(to_seconds(u.m_latest))}});
    u.m_logged_at = now;
    u.m_logged_seconds = used;
    u.m_latest = {};
}

void collect_usage(metric_families& families, const task_usage& u)
{
    add_value(families, metric_id::task_processor, std::array{u.m_task},
              thread_processor_seconds());
}

}
