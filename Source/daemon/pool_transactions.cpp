#include <daemon/pool_state.hpp>

#include <chrono>
#include <utility>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::seconds idle_limit{30};
constexpr char name_separator = '.';

// Requests that still wait for the transaction have not run and never will.
void forget(transaction& t)
{
    pool_state& p = t.m_pool;
    if (t.m_connection != nullptr)
        t.m_connection->m_transaction = nullptr;
    std::vector<request*> orphans;
    for (const auto& [exchange, r] : p.m_requests)
    {
        if (r->m_transaction != &t)
            continue;
        r->m_transaction = nullptr;
        if (r->m_state == request_state::queued)
            orphans.push_back(r.get());
    }
    p.m_boxes.m_front.post(transaction_ended{t.m_id});
    p.m_transactions.erase(t.m_id);
    for (request* orphan : orphans)
        fail(*orphan, refusal::unknown_transaction, refusal_outcome::not_run);
    report_if_drained(p);
}

void watch_idleness(transaction& t)
{
    if (t.m_state == transaction_state::open)
        t.m_idle_limit.start_once(idle_limit);
    else
        t.m_idle_limit.cancel();
}

void act(transaction& t, transaction_action action)
{
    switch (action)
    {
    case transaction_action::release_connection:
        std::exchange(t.m_connection, nullptr)->m_transaction = nullptr;
        break;
    case transaction_action::drop_connection:
        if (t.m_connection != nullptr)
        {
            pooled_connection& c = *std::exchange(t.m_connection, nullptr);
            c.m_transaction = nullptr;
            c.m_pg->close();
        }
        break;
    case transaction_action::forget:
        forget(t);
        break;
    }
}

}

transaction& begin_transaction(pool_state& p, request& r)
{
    std::string id = p.m_daemon.m_name;
    id.push_back(name_separator);
    id.append(std::to_string(p.m_next_transaction++));
    auto made = std::make_unique<transaction>(p, r.m_group, id);
    transaction& t = *made;
    t.m_workspace = r.m_arrived.m_context.m_workspace->m_name;
    t.m_key = r.m_arrived.m_context.m_key;
    p.m_transactions.emplace(std::move(id), std::move(made));
    return t;
}

transaction& find_transaction(pool_state& p, const pool_request& r)
{
    const std::string& id = r.m_statement.m_transaction;
    const auto found = p.m_transactions.find(id);
    const bool mine =
        found != p.m_transactions.end() &&
        found->second->m_workspace == r.m_context.m_workspace->m_name;
    if (mine)
        return *found->second;
    const std::size_t end = id.rfind(name_separator);
    const bool elsewhere =
        end != std::string::npos && id.substr(0, end) != p.m_daemon.m_name;
    throw refusal_error(elsewhere ? refusal::transaction_elsewhere
                                  : refusal::unknown_transaction);
}

void fire(transaction& t, transaction_event event)
{
    bool ended = false;
    t.m_pool.m_charts.m_transaction.fire(t.m_state, event,
                                         [&](transaction_action action)
                                         {
                                             ended = action ==
                                                     transaction_action::forget;
                                             act(t, action);
                                         });
    if (!ended)
        watch_idleness(t);
}

}
