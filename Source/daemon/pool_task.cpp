#include <daemon/pool_task.hpp>

#include <utility>

#include <daemon/pool_state.hpp>
#include <model/overloaded.hpp>

namespace bluebellspoke
{

namespace
{

void on_message(pool_state& p, pool_message& message)
{
    std::visit(
        overloaded{
            [&](pool_request& m)
            {
                accept_request(p, std::move(m));
            },
            [&](request_abandoned& m)
            {
                abandon_request(p, m.m_exchange);
            },
            [&](settings_changed& m)
            {
                apply_settings(p, std::move(m.m_settings));
                p.m_boxes.m_control.post(
                    settings_taken{false, p.m_settings->m_version});
            },
            [&](members_changed& m)
            {
                p.m_members = std::move(m.m_names);
            },
            [&](lease_answer& m)
            {
                take_lease_answer(p, m);
            },
            [&](right_changed& m)
            {
                take_right(p, m.m_right);
            },
            [&](incoming_loan_request& m)
            {
                lend_to_peer(p, m);
            },
            [&](incoming_loan& m)
            {
                take_loan(p, m);
            },
            [&](leave_begun&)
            {
                yield_groups(p);
            },
            [&](drain_begun&)
            {
                p.m_draining = true;
                report_if_drained(p);
            },
            [&](work_cut&)
            {
                cut_work(p);
            },
            [&](stop_wanted&)
            {
                stop(p.m_loop);
            },
            [&](dump_wanted& m)
            {
                p.m_boxes.m_admin.post(
                    state_dump{m.m_ticket, "pool", describe_pool(p)});
            },
            [&](metrics_wanted& m)
            {
                p.m_boxes.m_admin.post(
                    task_metrics{m.m_ticket, collect_pool(p)});
            },
        },
        message);
}

}

void report_if_drained(pool_state& p)
{
    const bool busy =
        !p.m_requests.empty() || !p.m_transactions.empty() || is_promoting(p);
    if (!p.m_draining || busy)
        return;
    p.m_boxes.m_control.post(leases_given_up());
    p.m_boxes.m_admin.post(task_drained{"pool"});
}

void run_pool_task(const daemon_settings& settings, const pool_charts& charts,
                   mailboxes& boxes)
{
    pool_state p(settings, charts, boxes);
    boxes.m_pool.attach(p.m_loop,
                        [&p](pool_message& message)
                        {
                            on_message(p, message);
                        });
    break_silence(p);
    run(p.m_loop);
}

}
