#include "lone_failover_task.hpp"

#include <chrono>
#include <stdexcept>

#include <decide/takeover.hpp>
#include <nlohmann/json.hpp>
#include <platform/line_codec.hpp>
#include <platform/store_value_codec.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke::support
{

namespace
{

const std::string service = "ledger-db";
constexpr std::chrono::milliseconds check_interval{10};
constexpr std::chrono::seconds longest_wait{10};

site_config_ptr make_config()
{
    auto* config = new site_config;
    site_config_ptr owned(config);
    config->m_version = 1;
    config->m_services[service] = {service, 64, 1};
    config->m_workspaces["ward"] = {"ward", 1000, 1000, {}};
    return owned;
}

endpoint_snapshot_ptr
make_endpoints(const std::map<std::string, address>& group,
               const std::set<std::string>& draining)
{
    auto* endpoints = new endpoint_snapshot;
    endpoint_snapshot_ptr owned(endpoints);
    for (const auto& [id, at] : group)
    {
        site_endpoint& e = endpoints->m_endpoints[id];
        e.m_id = id;
        e.m_service = service;
        e.m_address = at;
        e.m_zone = "zone-1";
        e.m_draining = draining.contains(id);
    }
    return owned;
}

std::vector<stored_change>
to_entries(const std::map<std::string, address>& group)
{
    std::vector<stored_change> entries;
    for (const auto& [id, at] : group)
    {
        const nlohmann::json value{{"service", service},
                                   {"address", to_string(at)},
                                   {"zone", "zone-1"},
                                   {"state", "ready"}};
        entries.push_back({{id, 1, value.dump()}, false});
    }
    return entries;
}

// A store with the record of the duty, and a list of endpoints.
object_store
make_store(stored_object& duty,
           const std::function<std::vector<stored_change>()>& list_endpoints)
{
    object_store s;
    s.m_list = [&duty, list_endpoints](stored_kind kind, bool,
                                       const store_callback& done)
    {
        store_answer a;
        if (kind == stored_kind::endpoints)
            a.m_changes = list_endpoints();
        else if (duty.m_revision > 0)
            a.m_changes = {{duty, false}};
        a.m_revision = duty.m_revision;
        done(a);
    };
    s.m_write =
        [&duty](stored_kind, const stored_object& o, const write_callback& done)
    {
        duty = {o.m_name, duty.m_revision + 1, o.m_value};
        write_answer a;
        a.m_object = duty;
        done(a);
    };
    return s;
}

}

lone_failover_task::lone_failover_task(
    const std::map<std::string, address>& group)
    : m_pause(m_loop,
              [this]
              {
                  stop(m_loop);
              }),
      m_charts(load_site_charts(TEST_CHARTS))
{
    m_settings.m_name = "self";
    m_settings.m_zone = "zone-1";
    m_boxes.m_session.attach(
        m_loop,
        [this](session_message& m)
        {
            if (const auto* r = std::get_if<reporting_changed>(&m))
                m_reports_wanted = r->m_enabled;
            else if (const auto* p = std::get_if<primary_promoted>(&m))
                m_promoted.push_back(*p);
        });
    m_boxes.m_failover.post(config_changed{make_config()});
    list(group);
    m_task = std::make_unique<task_thread>(
        "failover",
        [this]
        {
            run_failover_task(
                m_settings,
                {line_codec(), store_value_codec(),
                 [this](loop&)
                 {
                     return make_store(m_duty,
                                       [this]
                                       {
                                           const std::lock_guard held(m_lock);
                                           return m_stored_endpoints;
                                       });
                 },
                 [this](loop&) -> send_promotion_function
                 {
                     return [this](const promotion_order& order,
                                   const promotion_callback& done)
                     {
                         {
                             const std::lock_guard held(m_lock);
                             m_ordered.push_back(order.m_endpoint);
                         }
                         done(promotion_order_result::refused);
                     };
                 }},
                m_charts, m_boxes);
        });
    // Reports from before the duty was acquired don't count.
    if (!await(
            [this]
            {
                return m_reports_wanted;
            }))
        throw std::runtime_error("the duty wasn't acquired");
}

lone_failover_task::~lone_failover_task()
{
    m_boxes.m_failover.post(task_stop());
    m_task.reset();
}

void lone_failover_task::report_silent(const std::string& primary,
                                       term_number term)
{
    primary_report r;
    r.m_service = service;
    r.m_primary = primary;
    r.m_term = term;
    r.m_evidence.m_known = true;
    r.m_evidence.m_last_contact_at = boot_now() - 2 * primary_timeout;
    m_boxes.m_failover.post(std::move(r));
}

void lone_failover_task::report_missing(term_number term)
{
    primary_report r;
    r.m_service = service;
    r.m_term = term;
    r.m_evidence.m_last_contact_at = boot_now() - 2 * primary_timeout;
    m_boxes.m_failover.post(std::move(r));
}

void lone_failover_task::list(const std::map<std::string, address>& group,
                              const std::set<std::string>& draining)
{
    list_in_store(group);
    m_boxes.m_failover.post(endpoints_changed{make_endpoints(group, draining)});
}

void lone_failover_task::list_in_store(
    const std::map<std::string, address>& group)
{
    const std::lock_guard held(m_lock);
    m_stored_endpoints = to_entries(group);
}

std::vector<std::string> lone_failover_task::ordered() const
{
    const std::lock_guard held(m_lock);
    return m_ordered;
}

bool lone_failover_task::await(const std::function<bool()>& check)
{
    const time_point begin = boot_now();
    while (!check())
    {
        if (boot_now() - begin >= longest_wait)
            return false;
        m_pause.start_once(check_interval);
        run(m_loop);
    }
    return true;
}

const std::vector<primary_promoted>& lone_failover_task::promoted() const
{
    return m_promoted;
}

}
