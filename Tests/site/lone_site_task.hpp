#ifndef BLUEBELLSPOKE_SITE_LONE_SITE_TASK_HPP
#define BLUEBELLSPOKE_SITE_LONE_SITE_TASK_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <session/session_messages.hpp>
#include <session/site_charts.hpp>
#include <session/site_task.hpp>
#include <task/loop.hpp>
#include <task/task_thread.hpp>

namespace bluebellspoke::support
{

/// A site task without the other tasks of a process, and what it tells the
/// session task.
class lone_site_task
{
public:
    lone_site_task(const site_settings& settings, const site_codec& codec,
                   store_factory store);
    ~lone_site_task();
    lone_site_task(const lone_site_task&) = delete;
    lone_site_task& operator=(const lone_site_task&) = delete;

    /// Takes messages until the check holds. False after 10 s.
    bool await(const std::function<bool()>& check);
    /// The messages to the session task so far.
    const std::vector<session_message>& posted() const;
    /// The task's metrics as Prometheus reads them; empty if it has ended.
    std::string metrics();

private:
    loop m_loop = make_loop(); ///< Of the test; the mailboxes' events use it.
    timer m_pause;
    site_settings m_settings;
    site_codec m_codec;
    store_factory m_store;
    site_charts m_charts;
    site_mailboxes m_boxes;
    std::vector<session_message> m_posted;
    std::string m_metrics;
    std::unique_ptr<task_thread> m_task;
};

}

#endif
