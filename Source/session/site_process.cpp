#include <session/site_process.hpp>

#include <optional>

#include <report/event.hpp>
#include <session/session_task.hpp>
#include <task/task_thread.hpp>

namespace bluebellspoke
{

namespace
{

// If one task fails the whole process ends, so that its supervisor restarts it.
template <class Body>
std::function<void()> guarded(site_mailboxes& boxes, Body body)
{
    return [&boxes, body]
    {
        try
        {
            body();
        }
        catch (...)
        {
            boxes.m_life.post(task_stop());
            throw;
        }
    };
}

}

void run_site_process(const site_settings& settings,
                      const std::filesystem::path& charts_folder,
                      const failover_dependencies& dependencies,
                      const usage_dependencies& for_usage,
                      const life_dependencies& life)
{
    const site_charts charts = load_site_charts(charts_folder);
    site_mailboxes boxes;
    log_event(event_id::daemon_started,
              {{"node", settings.m_name},
               {"zone", settings.m_zone},
               {"callers", to_string(settings.m_caller_listen)},
               {"metrics", to_string(settings.m_metrics_listen)}});
    task_thread session("session", guarded(boxes,
                                           [&]
                                           {
                                               run_session_task(
                                                   settings,
                                                   dependencies.m_session_codec,
                                                   charts.m_session, boxes);
                                           }));
    task_thread site("site", guarded(boxes,
                                     [&]
                                     {
                                         run_site_task(
                                             settings,
                                             dependencies.m_site_codec, charts,
                                             dependencies.m_make_store, boxes);
                                     }));
    task_thread failover("failover",
                         guarded(boxes,
                                 [&]
                                 {
                                     run_failover_task(settings, dependencies,
                                                       charts, boxes);
                                 }));
    std::optional<task_thread> usage;
    if (settings.m_report_window != duration{})
        usage.emplace("usage", guarded(boxes,
                                       [&]
                                       {
                                           run_usage_task(settings, for_usage,
                                                          charts, boxes);
                                       }));
    const auto stop_all = [&]
    {
        boxes.m_session.post(task_stop());
        boxes.m_site.post(task_stop());
        boxes.m_failover.post(task_stop());
        boxes.m_usage.post(task_stop());
    };
    try
    {
        run_life_task(settings, life, boxes);
    }
    catch (...)
    {
        stop_all();
        throw;
    }
    stop_all();
    session.join();
    site.join();
    failover.join();
    if (usage)
        usage->join();
    log_event(event_id::daemon_stopped);
}

}
