#include <session/site_task_state.hpp>

#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

std::string draining_state(const site_endpoint& e)
{
    return e.m_draining ? "yes" : "no";
}

void log_listed(const site_endpoint& e, std::uint64_t revision,
                std::string_view cause)
{
    log_event(event_id::endpoint_listed,
              {{"endpoint", e.m_id},
               {"service", e.m_service},
               {"revision", std::to_string(revision)},
               {"draining", draining_state(e)},
               {"cause", std::string(cause)},
               {"started_ms", std::to_string(e.m_started_ms)}});
}

void log_unlisted(const site_endpoint& e, std::uint64_t revision,
                  std::string_view cause)
{
    log_event(event_id::endpoint_unlisted,
              {{"endpoint", e.m_id},
               {"service", e.m_service},
               {"revision", std::to_string(revision)},
               {"draining", draining_state(e)},
               {"cause", std::string(cause)}});
}

void log_draining(const site_endpoint& e, std::uint64_t revision)
{
    log_event(event_id::endpoint_draining_changed,
              {{"endpoint", e.m_id},
               {"service", e.m_service},
               {"revision", std::to_string(revision)},
               {"draining", draining_state(e)}});
}

}

void log_list_change(const site_task_state& t, const endpoint_snapshot& next,
                     std::string_view removal)
{
    if (!t.m_published_endpoints)
    {
        log_event(event_id::endpoint_list_known,
                  {{"endpoints", std::to_string(next.m_endpoints.size())},
                   {"revision", std::to_string(next.m_revision)}});
        return;
    }
    const auto& before = t.m_published_endpoints->m_endpoints;
    for (const auto& [id, e] : before)
        if (!next.m_endpoints.contains(id))
            log_unlisted(e, next.m_revision,
                         t.m_list.m_entries.contains(id)
                             ? "service not configured"
                             : removal);
    for (const auto& [id, e] : next.m_endpoints)
    {
        const auto known = before.find(id);
        if (known == before.end())
            log_listed(e, next.m_revision, "entered");
        else if (known->second.m_started_ms != e.m_started_ms)
            log_listed(e, next.m_revision, "started again");
        else if (known->second.m_draining != e.m_draining)
            log_draining(e, next.m_revision);
    }
}

}
