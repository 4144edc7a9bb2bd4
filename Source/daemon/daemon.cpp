#include <daemon/daemon.hpp>

#include <csignal>

#include <daemon/admin_task.hpp>
#include <daemon/control_charts.hpp>
#include <daemon/control_task.hpp>
#include <daemon/daemon_chart.hpp>
#include <daemon/daemon_tls.hpp>
#include <daemon/front_task.hpp>
#include <daemon/messages.hpp>
#include <daemon/pool_task.hpp>
#include <report/event.hpp>
#include <task/task_thread.hpp>

namespace bluebellspoke
{

namespace
{

// The admin task takes the signals; the others start with them blocked.
void block_signals(sigset_t& before)
{
    sigset_t blocked;
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGTERM);
    sigaddset(&blocked, SIGINT);
    sigaddset(&blocked, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &blocked, &before);
}

// A daemon with a dead task is worse than no daemon: the fleet takes over
// what it held once it is gone.
template <class Body>
std::function<void()> guarded(mailboxes& boxes, Body body)
{
    return [&boxes, body]
    {
        try
        {
            body();
        }
        catch (...)
        {
            boxes.m_admin.post(stop_wanted());
            throw;
        }
    };
}

}

void run_daemon(const daemon_settings& settings)
{
    const pool_charts charts = load_pool_charts(settings.m_charts);
    load_daemon_chart(settings.m_charts);
    load_lease_chart(settings.m_charts);
    const daemon_tls tls = load_daemon_tls(settings);
    if (settings.m_check_only)
        return;
    mailboxes boxes(settings.m_mailbox);
    sigset_t before;
    block_signals(before);
    task_thread front("front", guarded(boxes,
                                       [&]
                                       {
                                           run_front_task(settings, tls, boxes);
                                       }));
    task_thread pool("pool", guarded(boxes,
                                     [&]
                                     {
                                         run_pool_task(settings, charts, boxes);
                                     }));
    task_thread control("control", guarded(boxes,
                                           [&]
                                           {
                                               run_control_task(settings, tls,
                                                                boxes);
                                           }));
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    try
    {
        run_admin_task(settings, boxes);
    }
    catch (...)
    {
        boxes.m_front.post(stop_wanted());
        boxes.m_pool.post(stop_wanted());
        boxes.m_control.post(stop_wanted());
        throw;
    }
    boxes.m_front.post(stop_wanted());
    boxes.m_pool.post(stop_wanted());
    boxes.m_control.post(stop_wanted());
    front.join();
    pool.join();
    control.join();
    log_event(event_id::daemon_stopped);
}

}
