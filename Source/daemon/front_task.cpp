#include <daemon/front_task.hpp>

#include <utility>

#include <daemon/front_state.hpp>
#include <front/statement_codec.hpp>
#include <model/overloaded.hpp>

namespace bluebellspoke
{

namespace
{

void on_request(front_state& f, arrived_request& arrived)
{
    request_context context;
    try
    {
        admit(f, arrived, context);
    }
    catch (const refusal_error& r)
    {
        const resolved_workspace* workspace = context.m_workspace;
        count_refused(
            f.m_counts,
            workspace == nullptr ? std::string_view() : workspace->m_name, r);
        f.m_server->respond(arrived.m_exchange, encode_refusal(r));
    }
}

void on_message(front_state& f, front_message& message)
{
    std::visit(
        overloaded{
            [&](request_outcome& m)
            {
                answer_request(f, m);
            },
            [&](settings_changed& m)
            {
                f.m_settings = std::move(m.m_settings);
                update_rates(f);
                follow_zone(f);
                f.m_boxes.m_control.post(
                    settings_taken{true, f.m_settings->m_version});
            },
            [&](standing_changed& m)
            {
                f.m_standing_until = m.m_until;
            },
            [&](session_secrets& m)
            {
                f.m_session_keys = session_keys(m.m_secrets);
            },
            [&](tls_changed& m)
            {
                f.m_server->set_tls(std::move(m.m_tls.m_callers));
            },
            [&](right_changed& m)
            {
                take_right(f, m.m_right);
            },
            [&](incoming_loan_request& m)
            {
                lend_to_peer(f, m);
            },
            [&](incoming_loan& m)
            {
                take_loan(f, m);
            },
            [&](drain_begun&)
            {
                begin_drain(f);
            },
            [&](transaction_ended& m)
            {
                note_ended(f, m.m_id);
            },
            [&](work_cut&)
            {
                cut_connections(f);
            },
            [&](stop_wanted&)
            {
                stop(f.m_loop);
            },
            [&](dump_wanted& m)
            {
                f.m_boxes.m_admin.post(
                    state_dump{m.m_ticket, "front", describe_front(f)});
            },
            [&](metrics_wanted& m)
            {
                f.m_boxes.m_admin.post(
                    task_metrics{m.m_ticket, collect_front(f)});
            },
        },
        message);
}

http2_server_handlers make_handlers(front_state& f)
{
    http2_server_handlers handlers;
    handlers.m_on_request = [&f](arrived_request& arrived)
    {
        on_request(f, arrived);
    };
    handlers.m_on_abandoned = [&f](exchange_id exchange)
    {
        forget_waiting(f, exchange);
        f.m_boxes.m_pool.post(request_abandoned{exchange});
    };
    handlers.m_on_disconnect = [&f](connection_id)
    {
        report_if_drained(f);
    };
    return handlers;
}

}

void run_front_task(const daemon_settings& settings, const daemon_tls& tls,
                    mailboxes& boxes)
{
    front_state f(settings, boxes);
    f.m_server = std::make_unique<http2_server>(
        f.m_loop, settings.m_listen, http2_server_limits(), make_handlers(f));
    f.m_server->set_tls(tls.m_callers);
    boxes.m_front.attach(f.m_loop,
                         [&f](front_message& message)
                         {
                             on_message(f, message);
                         });
    run(f.m_loop);
}

}
