#include <daemon/pool_state.hpp>

#include <decide/access.hpp>

namespace bluebellspoke
{

namespace
{

// What wasn't committed is rolled back with its connection.
refusal_outcome fate_when_cut(const request& r)
{
    const bool uncommitted =
        !stands_alone(r.m_arrived) &&
        r.m_arrived.m_operation != request_operation::commit;
    const bool unsent = r.m_state == request_state::queued ||
                        r.m_state == request_state::parked;
    return uncommitted || unsent ? refusal_outcome::not_run
                                 : refusal_outcome::outcome_unknown;
}

bool key_of_request_stands(const pool_state& p, const pool_request& r)
{
    return !r.m_context.m_key || is_key_valid(*p.m_settings, *r.m_context.m_key,
                                              r.m_context.m_workspace->m_name);
}

void end_request(pool_state& p, exchange_id exchange, refusal code)
{
    const auto found = p.m_requests.find(exchange);
    if (found == p.m_requests.end())
        return;
    request& r = *found->second;
    r.m_refusal = refusal_error(code, fate_when_cut(r));
    fire(r, request_event::revoked);
}

void end_transaction(pool_state& p, const std::string& id)
{
    const auto found = p.m_transactions.find(id);
    if (found != p.m_transactions.end())
        fire(*found->second, transaction_event::expired);
}

}

void check_key(const pool_state& p, const pool_request& r)
{
    if (p.m_settings && !key_of_request_stands(p, r))
        throw refusal_error(refusal::key_withdrawn);
}

void end_withdrawn_keys(pool_state& p)
{
    std::vector<exchange_id> requests;
    for (const auto& [exchange, r] : p.m_requests)
        if (!key_of_request_stands(p, r->m_arrived))
            requests.push_back(exchange);
    std::vector<std::string> transactions;
    for (const auto& [id, t] : p.m_transactions)
        if (t->m_key && !is_key_valid(*p.m_settings, *t->m_key, t->m_workspace))
            transactions.push_back(id);
    for (const exchange_id& exchange : requests)
        end_request(p, exchange, refusal::key_withdrawn);
    for (const std::string& id : transactions)
        end_transaction(p, id);
}

void cut_work(pool_state& p)
{
    std::vector<exchange_id> requests;
    for (const auto& [exchange, r] : p.m_requests)
        requests.push_back(exchange);
    std::vector<std::string> transactions;
    for (const auto& [id, t] : p.m_transactions)
        transactions.push_back(id);
    for (const exchange_id& exchange : requests)
        end_request(p, exchange, refusal::draining);
    for (const std::string& id : transactions)
        end_transaction(p, id);
    report_if_drained(p);
}

}
