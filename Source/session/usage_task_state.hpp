#ifndef BLUEBELLSPOKE_SESSION_USAGE_TASK_STATE_HPP
#define BLUEBELLSPOKE_SESSION_USAGE_TASK_STATE_HPP

#include <chrono>
#include <cstdint>
#include <optional>

#include <decide/usage_report.hpp>
#include <report/task_usage.hpp>
#include <session/duty_client.hpp>
#include <session/session_messages.hpp>
#include <session/usage_task.hpp>

namespace bluebellspoke
{

/// The interval at which the task checks the duty and the windows.
inline constexpr std::chrono::milliseconds usage_tick{100};
/// The delay before a report is sent again: within a second of throttling, and
/// several times before the deadline.
inline constexpr std::chrono::milliseconds report_retry_delay{500};

/// Counters of the usage task; docs/METRICS.md describes the metrics.
struct usage_report_counts
{
    std::uint64_t m_accepted = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_late = 0; ///< Accepted after their deadline.
    std::uint64_t m_repeated = 0;
    std::uint64_t m_skipped = 0;
    std::uint32_t m_members_missing = 0; ///< In the last report.
};

/// The state that the usage task owns.
struct usage_task_state
{
    usage_task_state(const site_settings& settings,
                     const usage_dependencies& dependencies,
                     const site_charts& charts, site_mailboxes& boxes);

    const site_settings& m_settings;
    const site_charts& m_charts;
    site_mailboxes& m_boxes;
    loop m_loop;
    object_store m_store;
    send_usage_function m_send_usage;
    timer m_tick;
    duty_client m_duty;
    usage_report_state m_state = usage_report_state::without_duty;
    bool m_is_candidate = false;
    /// Before it the duty isn't acquired: another holder may have acted since
    /// this VM did last.
    time_point m_acquire_at{};
    clock_offset m_clock_offset{}; ///< Of true time.
    collected_windows m_collected;
    /// The last report that was stored, or is to be.
    std::optional<usage_report> m_report;
    std::optional<window_id> m_last_window; ///< Reported or skipped.
    bool m_is_repeated = false;  ///< The report may have been sent before.
    std::uint32_t m_heard = 0;   ///< Processes in m_report with final counts.
    std::uint32_t m_missing = 0; ///< The others.
    bool m_call_pending = false;
    time_point m_retry_at{};
    bool m_stopping = false;
    bool m_stop_reported = false;
    usage_report_counts m_counts;
    task_usage m_usage{.m_task = "usage", .m_tick = usage_tick};
};

// usage_reporting.cpp
/// What the duty client calls.
duty_handlers make_usage_duty_handlers(usage_task_state& t);
/// Begins the next report, or sends the present one again, when it is due.
void advance_reports(usage_task_state& t, time_point now);

}

#endif
