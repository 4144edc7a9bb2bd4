#include <peer/loan_messages.hpp>

#include <chrono>

namespace bluebellspoke
{

using std::chrono::milliseconds;

peer_message to_message(std::string_view self,
                        const outgoing_loan_request& request)
{
    peer_loan_request m;
    m.m_name = self;
    m.m_kind = request.m_kind;
    m.m_resource = request.m_resource;
    m.m_wanted = request.m_request.m_wanted;
    m.m_held = request.m_request.m_held;
    m.m_demand = request.m_request.m_demand;
    for (const loan_part& p : request.m_request.m_renewals)
        m.m_renewals.push_back({p.m_id, p.m_units});
    for (const loan_claim& p : request.m_request.m_claims)
        m.m_claims.push_back({p.m_id, p.m_passed_by, p.m_units});
    return m;
}

loan_request from_message(const peer_loan_request& m)
{
    loan_request request;
    request.m_borrower = m.m_name;
    request.m_wanted = m.m_wanted;
    request.m_held = m.m_held;
    request.m_demand = m.m_demand;
    for (const peer_loan_part& p : m.m_renewals)
        request.m_renewals.push_back({p.m_id, p.m_units});
    for (const peer_loan_claim& p : m.m_claims)
        request.m_claims.push_back({p.m_id, p.m_passed_by, p.m_units});
    return request;
}

rate_loan from_message(const peer_loan& m)
{
    rate_loan granted;
    granted.m_tokens = m.m_tokens;
    loan_answer& a = granted.m_units;
    a.m_id = m.m_id;
    a.m_units = m.m_units;
    for (const peer_loan_part& p : m.m_returned)
        a.m_returned.push_back({p.m_id, p.m_units});
    for (const peer_passed_loan& p : m.m_passed)
        a.m_passed.push_back(
            {p.m_lender, p.m_id, p.m_units, milliseconds(p.m_time_left_ms)});
    for (const peer_loan_part& p : m.m_renewed)
        a.m_renewed.push_back({p.m_id, p.m_units});
    for (const peer_claimed_loan& p : m.m_claimed)
        a.m_claimed.push_back(
            {{p.m_claim.m_id, p.m_claim.m_passed_by, p.m_claim.m_units},
             p.m_id});
    return granted;
}

peer_message to_message(const rate_loan& granted)
{
    peer_loan m;
    m.m_tokens = granted.m_tokens;
    const loan_answer& a = granted.m_units;
    m.m_id = a.m_id;
    m.m_units = a.m_units;
    for (const loan_part& p : a.m_returned)
        m.m_returned.push_back({p.m_id, p.m_units});
    for (const passed_loan& p : a.m_passed)
        m.m_passed.push_back(
            {p.m_lender, p.m_id, p.m_units,
             static_cast<std::uint64_t>(
                 std::chrono::floor<milliseconds>(p.m_time_left).count())});
    for (const loan_part& p : a.m_renewed)
        m.m_renewed.push_back({p.m_id, p.m_units});
    for (const claimed_loan& p : a.m_claimed)
        m.m_claimed.push_back(
            {{p.m_claim.m_id, p.m_claim.m_passed_by, p.m_claim.m_units},
             p.m_id});
    return m;
}

}
