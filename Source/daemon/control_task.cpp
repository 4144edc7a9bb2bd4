#include <daemon/control_task.hpp>

#include <chrono>
#include <random>

#include <daemon/control_state.hpp>
#include <model/overloaded.hpp>

#include <nlohmann/json.hpp>

namespace bluebellspoke
{

namespace
{

std::uint64_t random_incarnation()
{
    std::random_device source;
    return std::uniform_int_distribution<std::uint64_t>()(source);
}

nlohmann::json describe_peers(const control_state& c)
{
    const time_point now = monotonic_clock::now();
    nlohmann::json peers = nlohmann::json::object();
    for (const auto& [name, p] : c.m_peers)
    {
        nlohmann::json& out = peers[name];
        out["zone"] = p.m_vm.m_zone;
        if (!p.m_last)
            continue;
        out["settings_version"] = p.m_last->m_settings_version;
        out["platform_answers"] = p.m_last->m_platform_is_available;
        out["heard_ms_ago"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                  p.m_asked_at)
                .count();
    }
    return peers;
}

std::string describe_control(const control_state& c)
{
    return nlohmann::json{{"settings_version", c.m_version},
                          {"settings_in_force", status_of(c).m_applied_version},
                          {"settings_refused", status_of(c).m_rejected_nodes},
                          {"standing", to_string(c.m_standing)},
                          {"platform_revision", c.m_revision},
                          {"platform_answers", c.m_platform_answers},
                          {"members", c.m_members},
                          {"epoch", c.m_fleet.m_epoch.m_number},
                          {"epoch_members", c.m_fleet.m_epoch.m_members.size()},
                          {"epoch_applied", applied_epoch(c)},
                          {"epoch_settled", c.m_fleet.m_settling.m_settled},
                          {"peers", describe_peers(c)}}
        .dump();
}

metric_families collect_control(const control_state& c)
{
    metric_families families;
    add_value(families, metric_id::settings_version, {},
              static_cast<double>(c.m_version));
    add_value(families, metric_id::fleet_members, {},
              static_cast<double>(c.m_members));
    add_value(families, metric_id::platform_answers, {},
              c.m_platform_answers ? 1 : 0);
    return families;
}

void use_tls(control_state& c, const daemon_tls& tls)
{
    c.m_tls = tls;
    c.m_platform.set_tls(tls.m_platform);
    c.m_peer_server->set_tls(tls.m_peer_server);
    for (const auto& [name, p] : c.m_peers)
        p.m_client->set_tls(tls.m_peer_client);
}

void on_message(control_state& c, control_message& message)
{
    std::visit(
        overloaded{
            [&](settings_taken& m)
            {
                (m.m_front ? c.m_front_version : c.m_pool_version) =
                    m.m_version;
            },
            [&](life_changed& m)
            {
                c.m_life = std::move(m.m_state);
            },
            [&](lease_wanted& m)
            {
                want_lease(c, m);
            },
            [&](lease_released& m)
            {
                release_lease(c, m);
            },
            [&](leases_given_up&)
            {
                c.m_leases.m_given_up = true;
                report_if_drained(c);
            },
            [&](tls_changed& m)
            {
                use_tls(c, m.m_tls);
            },
            [&](right_applied& m)
            {
                note_applied(c, m);
            },
            [&](outgoing_loan_request& m)
            {
                ask_for_loan(c, m);
            },
            [&](outgoing_loan& m)
            {
                answer_loan(c, m);
            },
            [&](drain_begun&)
            {
                c.m_draining = true;
                report_if_drained(c);
            },
            [&](stop_wanted&)
            {
                stop(c.m_loop);
            },
            [&](dump_wanted& m)
            {
                c.m_boxes.m_admin.post(
                    state_dump{m.m_ticket, "control", describe_control(c)});
            },
            [&](metrics_wanted& m)
            {
                c.m_boxes.m_admin.post(
                    task_metrics{m.m_ticket, collect_control(c)});
            },
        },
        message);
}

}

control_state::control_state(const daemon_settings& daemon, mailboxes& boxes)
    : m_daemon(daemon), m_boxes(boxes), m_loop(make_loop()),
      m_platform(m_loop, daemon.m_platform),
      m_incarnation(random_incarnation()), m_leases{load_lease_chart(
                                                        daemon.m_charts),
                                                    {}},
      m_heartbeat(m_loop,
                  [this]
                  {
                      beat_peers(*this);
                  }),
      m_settings_tick(m_loop,
                      [this]
                      {
                          tend_settings(*this);
                      }),
      m_retry_secrets(m_loop,
                      [this]
                      {
                          load_secrets(*this);
                      }),
      m_vm_poll(m_loop,
                [this]
                {
                    poll_vms(*this);
                }),
      m_epoch_poll(m_loop,
                   [this]
                   {
                       read_epoch(*this);
                   })
{
    m_fleet.m_started_at = monotonic_clock::now();
}

void run_control_task(const daemon_settings& settings, const daemon_tls& tls,
                      mailboxes& boxes)
{
    control_state c(settings, boxes);
    boxes.m_control.attach(c.m_loop,
                           [&c](control_message& message)
                           {
                               on_message(c, message);
                           });
    start_peers(c);
    use_tls(c, tls);
    tend_settings(c);
    load_secrets(c);
    poll_vms(c);
    read_epoch(c);
    run(c.m_loop);
}

}
