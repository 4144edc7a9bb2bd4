#ifndef BLUEBELLSPOKE_SITE_LONE_FAILOVER_TASK_HPP
#define BLUEBELLSPOKE_SITE_LONE_FAILOVER_TASK_HPP

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <session/failover_task.hpp>
#include <session/session_messages.hpp>
#include <session/site_charts.hpp>
#include <task/loop.hpp>
#include <task/task_thread.hpp>

namespace bluebellspoke::support
{

/// A failover task that holds the duty, without the other tasks of a process,
/// in front of one group with one synchronous replica.
class lone_failover_task
{
public:
    /// The endpoints' addresses by id.
    explicit lone_failover_task(const std::map<std::string, address>& group);
    ~lone_failover_task();
    lone_failover_task(const lone_failover_task&) = delete;
    lone_failover_task& operator=(const lone_failover_task&) = delete;

    /// Reports that this primary hasn't answered for longer than
    /// primary_timeout.
    void report_silent(const std::string& primary, term_number term);
    /// Reports that no primary is known, for longer than primary_timeout.
    void report_missing(term_number term);
    /// Replaces the list of endpoints that the task is told of, and the
    /// store's.
    void list(const std::map<std::string, address>& group,
              const std::set<std::string>& draining = {});
    /// Replaces the list of endpoints in the store, as if the change hadn't
    /// reached the process.
    void list_in_store(const std::map<std::string, address>& group);
    /// The endpoints that were ordered to lead; each order is refused.
    std::vector<std::string> ordered() const;
    /// Takes messages until the check holds. False after 10 s.
    bool await(const std::function<bool()>& check);
    /// What the session task was told of new primaries.
    const std::vector<primary_promoted>& promoted() const;

private:
    loop m_loop = make_loop(); ///< Of the test; the mailbox's event uses it.
    mutable std::mutex m_lock; ///< Of what the task's thread uses, too.
    std::vector<stored_change> m_stored_endpoints;
    std::vector<std::string> m_ordered;
    timer m_pause;
    site_settings m_settings;
    site_charts m_charts;
    stored_object m_duty{"failover", 0, {}};
    site_mailboxes m_boxes;
    bool m_reports_wanted = false;
    std::vector<primary_promoted> m_promoted;
    std::unique_ptr<task_thread> m_task;
};

}

#endif
