#include <daemon/control_state.hpp>

#include <chrono>
#include <utility>

namespace bluebellspoke
{

namespace
{

using std::chrono::milliseconds;

peer_loan_ask to_message(const control_state& c, const loan_wanted& wanted)
{
    peer_loan_ask m;
    m.m_name = c.m_daemon.m_name;
    m.m_kind = wanted.m_kind;
    m.m_resource = wanted.m_resource;
    m.m_wanted = wanted.m_ask.m_wanted;
    m.m_held = wanted.m_ask.m_held;
    m.m_demand = wanted.m_ask.m_demand;
    for (const loan_part& p : wanted.m_ask.m_renews)
        m.m_renews.push_back({p.m_id, p.m_units});
    for (const loan_claim& p : wanted.m_ask.m_claims)
        m.m_claims.push_back({p.m_id, p.m_passed_by, p.m_units});
    return m;
}

loan_ask from_message(const peer_loan_ask& m)
{
    loan_ask ask;
    ask.m_peer = m.m_name;
    ask.m_wanted = m.m_wanted;
    ask.m_held = m.m_held;
    ask.m_demand = m.m_demand;
    for (const peer_loan_part& p : m.m_renews)
        ask.m_renews.push_back({p.m_id, p.m_units});
    for (const peer_loan_claim& p : m.m_claims)
        ask.m_claims.push_back({p.m_id, p.m_passed_by, p.m_units});
    return ask;
}

rate_loan from_message(const peer_loan& m)
{
    rate_loan given;
    given.m_tokens = m.m_tokens;
    loan_answer& a = given.m_units;
    a.m_id = m.m_id;
    a.m_units = m.m_units;
    for (const peer_loan_part& p : m.m_returned)
        a.m_returned.push_back({p.m_id, p.m_units});
    for (const peer_passed_loan& p : m.m_passed)
        a.m_passed.push_back(
            {p.m_lender, p.m_id, p.m_units, milliseconds(p.m_left_ms)});
    for (const peer_loan_part& p : m.m_renewed)
        a.m_renewed.push_back({p.m_id, p.m_units});
    for (const peer_claimed_loan& p : m.m_claimed)
        a.m_claimed.push_back(
            {{p.m_claim.m_id, p.m_claim.m_passed_by, p.m_claim.m_units},
             p.m_id});
    return given;
}

void tell_holder(control_state& c, loan_arrived arrived)
{
    if (arrived.m_kind == share_kind::rate)
        c.m_boxes.m_front.post(std::move(arrived));
    else
        c.m_boxes.m_pool.post(std::move(arrived));
}

}

void ask_for_loan(control_state& c, loan_wanted& wanted)
{
    const peer_message message = to_message(c, wanted);
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
                   const peer_loan_ask& ask)
{
    loan_asked asked{exchange, ask.m_kind, ask.m_resource, from_message(ask)};
    if (ask.m_kind == share_kind::rate)
        c.m_boxes.m_front.post(std::move(asked));
    else
        c.m_boxes.m_pool.post(std::move(asked));
}

peer_message loan_message(const rate_loan& given)
{
    peer_loan m;
    m.m_tokens = given.m_tokens;
    const loan_answer& a = given.m_units;
    m.m_id = a.m_id;
    m.m_units = a.m_units;
    for (const loan_part& p : a.m_returned)
        m.m_returned.push_back({p.m_id, p.m_units});
    for (const passed_loan& p : a.m_passed)
        m.m_passed.push_back(
            {p.m_lender, p.m_id, p.m_units,
             static_cast<std::uint64_t>(
                 std::chrono::floor<milliseconds>(p.m_left).count())});
    for (const loan_part& p : a.m_renewed)
        m.m_renewed.push_back({p.m_id, p.m_units});
    for (const claimed_loan& p : a.m_claimed)
        m.m_claimed.push_back(
            {{p.m_claim.m_id, p.m_claim.m_passed_by, p.m_claim.m_units},
             p.m_id});
    return m;
}

}
