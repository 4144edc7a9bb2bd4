#include <daemon/pool_state.hpp>

#include <algorithm>
#include <utility>

namespace bluebellspoke
{

namespace
{

// A daemon that may hold no monitor can't do without a loan.
bool may_want(const pool_endpoint& e, time_point now)
{
    return wanted_connections(e.m_book, now) > 0 &&
           !(e.m_group.m_pool.m_daemon.m_even_shares &&
             e.m_book.m_monitor_reserved);
}

void ask_peers(pool_endpoint& e, time_point now)
{
    pool_state& p = e.m_group.m_pool;
    const connection_ledger& b = e.m_book;
    if (!p.m_right || !is_due(e.m_round, now) || !should_ask_peers(b, now))
        return;
    schedule_next_round(e.m_round, now);
    for (const std::string& lender :
         select_lenders(*p.m_right, b.m_endpoint, b.m_ledger, may_want(e, now)))
        p.m_boxes.m_control.post(outgoing_loan_request{
            share_kind::connections, b.m_endpoint, lender,
            make_loan_request(b, p.m_daemon.m_name, lender, now)});
}

pool_endpoint* find_endpoint(const pool_state& p, std::string_view resource)
{
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
            if (e->m_book.m_endpoint == resource)
                return e.get();
    return nullptr;
}

void forget_closed(pool_endpoint& e, time_point now)
{
    std::erase_if(e.m_closed_at,
                  [&](time_point closed_at)
                  {
                      return now - closed_at >= close_delay;
                  });
}

void tend_endpoint(pool_endpoint& e, time_point now)
{
    forget_closed(e, now);
    return_connections(e);
    record_usage(e.m_book, use_of(e), now);
    ask_peers(e, now);
}

// When the endpoint is to be looked at again.
time_point next_look(const pool_endpoint& e, time_point now)
{
    const bool at_work = e.m_short || should_ask_peers(e.m_book, now) ||
                         now < e.m_book.m_yield_until || !fits_share(e);
    return at_work ? now + min_ask_interval : next_change(e.m_book, now);
}

void look_again(pool_state& p, time_point now)
{
    time_point next = time_point::max();
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
            next = std::min(next, next_look(*e, now));
    if (next == time_point::max())
        return;
    const duration left = std::max<duration>(next - now, min_ask_interval);
    p.m_loan_tick.start_once(
        std::chrono::duration_cast<std::chrono::microseconds>(left));
}

}

void note_shortage(pool_endpoint& e)
{
    const time_point now = monotonic_clock::now();
    const bool first = !std::exchange(e.m_short, true);
    if (first)
        e.m_group.m_pool.m_loan_tick.start_once(min_ask_interval);
    else if (!is_due(e.m_round, now))
        return;
    record_usage(e.m_book, use_of(e), now);
    ask_peers(e, now);
}

void lend_to_peer(pool_state& p, const incoming_loan_request& asked)
{
    rate_loan given;
    if (pool_endpoint* e = find_endpoint(p, asked.m_resource))
    {
        const time_point now = monotonic_clock::now();
        const connection_usage use = use_of(*e);
        record_usage(e->m_book, use, now);
        given.m_units = lend_connections(e->m_book, asked.m_request, use, now);
        return_connections(*e);
        p.m_loan_tick.start_once(min_ask_interval);
    }
    p.m_boxes.m_control.post(outgoing_loan{asked.m_exchange, std::move(given)});
}

void take_loan(pool_state& p, const incoming_loan& arrived)
{
    pool_endpoint* e = find_endpoint(p, arrived.m_resource);
    if (e == nullptr)
        return;
    const std::uint32_t gained = apply_connection_loan(
        e->m_book, arrived.m_lender, arrived.m_loan.m_units,
        arrived.m_requested_at, monotonic_clock::now());
    if (gained == 0)
        return;
    e->m_round.m_backoff = {};
    start_monitor(*e);
    dispatch(e->m_group);
}

void tend_loans(pool_state& p)
{
    const time_point now = monotonic_clock::now();
    for (const auto& [name, group] : p.m_groups)
    {
        for (const auto& e : group->m_endpoints)
        {
            advance_to(e->m_book, now);
            e->m_short = false;
        }
        dispatch(*group);
        for (const auto& e : group->m_endpoints)
            tend_endpoint(*e, now);
    }
    report_applied(p);
    look_again(p, now);
}

}
