#include <daemon/control_state.hpp>

#include <utility>

namespace bluebellspoke
{

namespace
{

void tell_holder(control_state& c, incoming_loan arrived)
{
    if (arrived.m_kind == share_kind::rate)
        c.m_boxes.m_front.post(std::move(arrived));
    else
        c.m_boxes.m_pool.post(std::move(arrived));
}

}

void ask_for_loan(control_state& c, outgoing_loan_request& wanted)
{
    const peer_message message = to_message(c.m_daemon.m_name, wanted);
    const time_point asked_at = monotonic_clock::now();
    send_to_peer(c, wanted.m_lender, message,
                 [&c, asked_at, kind = wanted.m_kind,
                  resource = wanted.m_resource,
                  lender = wanted.m_lender](std::optional<peer_message>& answer)
                 {
                     const auto* given =
                         answer ? std::get_if<peer_loan>(&*answer) : nullptr;
                     if (given != nullptr)
                         tell_holder(c, {kind, resource, lender,
                                         from_message(*given), asked_at});
                 });
}

void pass_loan_ask(control_state& c, exchange_id exchange,
                   const peer_loan_request& ask)
{
    incoming_loan_request asked{exchange, ask.m_kind, ask.m_resource,
                                from_message(ask)};
    if (ask.m_kind == share_kind::rate)
        c.m_boxes.m_front.post(std::move(asked));
    else
        c.m_boxes.m_pool.post(std::move(asked));
}

}
