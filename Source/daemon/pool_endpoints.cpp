#include <daemon/pool_state.hpp>

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include <endpoint/endpoint_sql.hpp>
#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds waiting_poll_period{2};
constexpr milliseconds reconnect_delay{200};
constexpr milliseconds await_limit{100};
/// A replica that shows data this much newer than before hears a primary.
constexpr milliseconds fed_step{20};

bool anyone_waits(const pool_endpoint& e)
{
    return !e.m_group.m_confirming.empty() || !e.m_group.m_catching_up.empty();
}

std::string poll_query(const pool_endpoint& e)
{
    if (e.m_group.m_confirming.empty())
        return state_query();
    return await_query(e.m_group.m_confirming.front().m_answer.m_position,
                       await_limit);
}

void take_state(pool_endpoint& e, time_point asked_at, const pg_reply& reply)
{
    e.m_silence.cancel();
    if (reply.m_lost)
        return;
    try
    {
        if (reply.m_error || reply.m_tables.empty())
            throw endpoint_protocol_error();
        learn_state(e, parse_state(reply.m_tables.front(), asked_at));
    }
    catch (const endpoint_protocol_error&)
    {
        e.m_monitor->close();
        return;
    }
    if (e.m_monitor)
        e.m_poll.start_once(anyone_waits(e)
                                ? waiting_poll_period
                                : pace_of(e.m_group).m_status_query);
}

void on_monitor_ready(pool_endpoint& e)
{
    log_event(event_id::endpoint_reached,
              {{"group", e.m_group.m_name}, {"endpoint", e.m_setting.m_name}});
    e.m_reachable = true;
    update_admission(e);
    hasten_poll(e);
}

// What runs at an endpoint that is silent goes on elsewhere or is in doubt;
// its connections may never tell.
void drop_running(pool_endpoint& e)
{
    std::vector<pg_connection*> running;
    for (const auto& c : e.m_connections)
        if (is_busy(*c))
            running.push_back(c->m_pg.get());
    for (pg_connection* pg : running)
        pg->close();
}

void on_monitor_closed(pool_endpoint& e)
{
    const bool was_reachable = std::exchange(e.m_reachable, false);
    e.m_silence.cancel();
    update_admission(e);
    pool_state& p = e.m_group.m_pool;
    p.m_closed_monitors.push_back(std::move(e.m_monitor));
    p.m_reaper.start_once(std::chrono::microseconds::zero());
    e.m_reconnect.start_once(reconnect_delay);
    if (!was_reachable)
        return;
    log_event(event_id::endpoint_unreachable,
              {{"group", e.m_group.m_name}, {"endpoint", e.m_setting.m_name}});
    drop_running(e);
}

void on_connection_closed(pool_endpoint& e, pooled_connection& c)
{
    transaction* t = std::exchange(c.m_transaction, nullptr);
    const auto found =
        std::find_if(e.m_connections.begin(), e.m_connections.end(),
                     [&](const auto& candidate)
                     {
                         return candidate.get() == &c;
                     });
    pool_state& p = e.m_group.m_pool;
    p.m_closed_connections.push_back(std::move(*found));
    e.m_connections.erase(found);
    e.m_closed_at.push_back(monotonic_clock::now());
    p.m_reaper.start_once(std::chrono::microseconds::zero());
    if (t != nullptr)
        fire(*t, transaction_event::lost);
}

// Answers on different connections may overtake each other.
bool is_newer(const endpoint_state& a, const endpoint_state& b)
{
    if (a.m_asked_at >= b.m_asked_at)
        return true;
    return std::tie(a.m_fence, a.m_received) >
           std::tie(b.m_fence, b.m_received);
}

pg_target target_of(const pool_endpoint& e)
{
    pg_target target;
    target.m_address = parse_address(e.m_setting.m_address);
    target.m_silence_bound = connection_idle_timeout;
    return target;
}

// The age is counted back from the asking, so a slow answer looks older than
// it is and never newer.
void note_feeding(pool_endpoint& e, const endpoint_state& state)
{
    e.m_heard_at =
        std::max(e.m_heard_at.value_or(state.m_asked_at), state.m_asked_at);
    if (!state.m_age || state.m_role == endpoint_role::primary)
        return;
    const time_point fresh = state.m_asked_at - *state.m_age;
    if (fresh - e.m_fresh_until < fed_step)
        return;
    e.m_fresh_until = fresh;
    e.m_fed_at = state.m_asked_at;
}

}

void start_monitor(pool_endpoint& e)
{
    pool_state& p = e.m_group.m_pool;
    if (e.m_monitor || !may_monitor(e.m_book, monotonic_clock::now()))
        return;
    pg_handlers handlers;
    handlers.m_on_ready = [&e]
    {
        on_monitor_ready(e);
    };
    handlers.m_on_closed = [&e]
    {
        on_monitor_closed(e);
    };
    e.m_monitor = std::make_unique<pg_connection>(
        p.m_loop, p.m_charts.m_connection, target_of(e), std::move(handlers));
    e.m_monitor->open();
}

void hasten_poll(pool_endpoint& e)
{
    if (!e.m_monitor || e.m_monitor->state() != connection_state::idle)
        return;
    const time_point asked_at = monotonic_clock::now();
    e.m_silence.start_once(suspicion_timeout);
    e.m_monitor->submit(poll_query(e),
                        [&e, asked_at](pg_reply& reply)
                        {
                            take_state(e, asked_at, reply);
                        });
}

void hasten_polls(pool_group& g)
{
    for (const auto& e : g.m_endpoints)
        hasten_poll(*e);
}

void learn_state(pool_endpoint& e, const endpoint_state& state)
{
    note_feeding(e, state);
    if (e.m_view.m_state && !is_newer(state, *e.m_view.m_state))
        return;
    e.m_view.m_state = state;
    confirm_requests(e.m_group);
    wake_reads(e.m_group);
    dispatch(e.m_group);
}

bool open_connection(pool_endpoint& e)
{
    if (count_open(e) >= usable_connections(e.m_book, monotonic_clock::now()))
    {
        note_shortage(e);
        return false;
    }
    pool_state& p = e.m_group.m_pool;
    auto made = std::make_unique<pooled_connection>(pooled_connection{
        e, nullptr, nullptr, nullptr, false, monotonic_clock::now()});
    pooled_connection& c = *made;
    pg_handlers handlers;
    handlers.m_on_ready = [&e]
    {
        dispatch(e.m_group);
    };
    handlers.m_on_closed = [&e, &c]
    {
        on_connection_closed(e, c);
    };
    c.m_pg = std::make_unique<pg_connection>(p.m_loop, p.m_charts.m_connection,
                                             target_of(e), std::move(handlers));
    e.m_connections.push_back(std::move(made));
    c.m_pg->open();
    return true;
}

void close_endpoint(pool_endpoint& e)
{
    while (!e.m_connections.empty())
        e.m_connections.back()->m_pg->close();
    drop_order(e);
    if (e.m_monitor)
        e.m_monitor->close();
    e.m_silence.cancel();
    e.m_poll.cancel();
    e.m_reconnect.cancel();
}

}
