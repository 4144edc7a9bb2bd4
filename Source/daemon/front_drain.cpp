#include <daemon/front_state.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

bool holds_transaction(const front_state& f, connection_id connection)
{
    return std::any_of(f.m_transactions.begin(), f.m_transactions.end(),
                       [connection](const auto& entry)
                       {
                           return entry.second == connection;
                       });
}

bool is_leaving(const front_state& f)
{
    return f.m_draining || f.m_zone_out;
}

// A connection that holds a transaction stays until the transaction's end: its
// caller has to be able to send the rest of it.
void retire_connections(front_state& f)
{
    for (const connection_id connection : f.m_server->connections())
        if (!holds_transaction(f, connection))
            f.m_server->retire(connection);
}

}

void report_if_drained(front_state& f)
{
    if (f.m_draining && f.m_server->open_connections() == 0)
        f.m_boxes.m_admin.post(task_drained{"front"});
}

void begin_drain(front_state& f)
{
    f.m_draining = true;
    f.m_server->stop_accepting();
    retire_connections(f);
    report_if_drained(f);
}

void cut_connections(front_state& f)
{
    f.m_transactions.clear();
    retire_connections(f);
}

void note_begun(front_state& f, const request_outcome& outcome)
{
    if (!outcome.m_transaction.empty())
        f.m_transactions.emplace(outcome.m_transaction,
                                 outcome.m_context.m_exchange.m_connection);
}

void note_ended(front_state& f, const std::string& transaction)
{
    const auto found = f.m_transactions.find(transaction);
    if (found == f.m_transactions.end())
        return;
    const connection_id connection = found->second;
    f.m_transactions.erase(found);
    if (is_leaving(f) && !holds_transaction(f, connection))
        f.m_server->retire(connection);
}

void follow_zone(front_state& f)
{
    const bool out = f.m_settings->m_zones_out.contains(f.m_daemon.m_zone);
    const bool changed = out != f.m_zone_out;
    f.m_zone_out = out;
    if (changed && out)
        retire_connections(f);
}

}
