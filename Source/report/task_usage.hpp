#ifndef BLUEBELLSPOKE_REPORT_TASK_USAGE_HPP
#define BLUEBELLSPOKE_REPORT_TASK_USAGE_HPP

#include <chrono>
#include <string_view>

#include <model/clock.hpp>
#include <report/metric.hpp>

namespace bluebellspoke
{

/// From one log line on a task's usage to the next.
inline constexpr std::chrono::seconds usage_period{5};

/// Processor time and lateness of one task; only the task's thread uses it.
struct task_usage
{
    std::string_view m_task;
    duration m_tick{}; ///< Between two calls of note_tick, on time.
    time_point m_ticked_at{};
    duration m_latest{}; ///< Greatest delay of a tick since the last line.
    time_point m_logged_at{};
    double m_logged_seconds = 0; ///< Processor time at the last line.
};

/// Processor time of the calling thread, in seconds.
double thread_processor_seconds() noexcept;
/// The task's periodic timer has elapsed. Logs the usage when it is due.
void note_tick(task_usage& u, time_point now);
void collect_usage(metric_families& families, const task_usage& u);

}

#endif
