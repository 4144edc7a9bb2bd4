#include <algorithm>

#include <shares/fake_fleet.hpp>

namespace bluebellspoke::shares
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t order_connections = 1;
/// Longest time that a close takes to reach the endpoint. It is below
/// close_delay, for which the daemon counts the connection as open.
constexpr milliseconds max_close_delay{20};
constexpr milliseconds keepalive_period{500};

duration random_duration(fake_fleet& f, milliseconds least, milliseconds most)
{
    return milliseconds(std::uniform_int_distribution<int>(
        static_cast<int>(least.count()),
        static_cast<int>(most.count()))(f.m_random));
}

std::vector<fake_session*> sessions_of(fake_fleet& f, std::size_t daemon)
{
    std::vector<fake_session*> own;
    for (fake_session& s : f.m_endpoint.m_sessions)
        if (s.m_owner == daemon && !s.m_closes_at &&
            s.m_incarnation == f.m_daemons[daemon].m_self.m_incarnation)
            own.push_back(&s);
    return own;
}

void close(fake_fleet& f, fake_session& s)
{
    s.m_closes_at =
        f.m_now + random_duration(f, milliseconds(0), max_close_delay);
    f.m_daemons[s.m_owner].m_pool.m_closed_at.push_back(f.m_now);
}

void close_excess_sessions(fake_fleet& f, std::size_t daemon)
{
    const connection_ledger& b = f.m_daemons[daemon].m_pool.m_ledger;
    std::vector<fake_session*> own = sessions_of(f, daemon);
    std::size_t open = own.size();
    for (fake_session* s : own)
        if (!s->m_busy_until && open > usable_connections(b, f.m_now))
        {
            close(f, *s);
            --open;
        }
    for (fake_session* s : own)
        if (!s->m_closes_at && open > max_open_connections(b, f.m_now))
        {
            ++f.m_endpoint.m_aborted;
            close(f, *s);
            --open;
        }
}

void run_transactions(fake_fleet& f, std::size_t daemon)
{
    fake_pool& pool = f.m_daemons[daemon].m_pool;
    for (fake_session* s : sessions_of(f, daemon))
    {
        if (f.m_now - s->m_last_contact_at >= keepalive_period)
            s->m_last_contact_at = f.m_now;
        if (s->m_busy_until && *s->m_busy_until <= f.m_now)
        {
            s->m_busy_until.reset();
            s->m_last_contact_at = f.m_now;
            ++f.m_endpoint.m_served;
        }
        if (pool.m_waiting > 0 && !s->m_busy_until)
        {
            --pool.m_waiting;
            s->m_last_contact_at = f.m_now;
            s->m_busy_until = f.m_now + random_duration(f, milliseconds(20),
                                                        milliseconds(400));
        }
    }
}

void open_session(fake_fleet& f, std::size_t daemon)
{
    fake_daemon& d = f.m_daemons[daemon];
    const connection_ledger& b = d.m_pool.m_ledger;
    if (d.m_pool.m_waiting == 0 ||
        usage_of(f, daemon).m_open >= usable_connections(b, f.m_now))
        return;
    f.m_endpoint.m_sessions.push_back(
        {daemon, d.m_self.m_incarnation, f.m_now, {}, {}});
}

void ask_peers(fake_fleet& f, std::size_t from)
{
    fake_pool& pool = f.m_daemons[from].m_pool;
    if (!is_due(pool.m_round, f.m_now) ||
        !should_ask_peers(pool.m_ledger, f.m_now))
        return;
    schedule_next_round(pool.m_round, f.m_now);
    for (std::size_t to = 0; to < f.m_daemons.size(); ++to)
    {
        if (to == from)
            continue;
        const std::string lender = f.m_daemons[to].m_self.m_name;
        const loan_request request = make_loan_request(
            pool.m_ledger, f.m_daemons[from].m_self.m_name, lender, f.m_now);
        send_request(
            f, from, to,
            [request, to](fake_fleet& fleet, fake_daemon& d)
            {
                return lend_connections(d.m_pool.m_ledger, request,
                                        usage_of(fleet, to), fleet.m_now);
            },
            [lender](fake_fleet& fleet, fake_daemon& d,
                     const loan_answer& answer, time_point asked_at)
            {
                if (apply_connection_loan(d.m_pool.m_ledger, lender, answer,
                                          asked_at, fleet.m_now) > 0)
                    d.m_pool.m_round.m_backoff = {};
            });
    }
}

}

void share_endpoint(fake_fleet& f, std::uint32_t limit)
{
    f.m_endpoint.m_limit = limit;
}

connection_usage usage_of(const fake_fleet& f, std::size_t daemon)
{
    const fake_daemon& d = f.m_daemons[daemon];
    connection_usage usage;
    for (const fake_session& s : f.m_endpoint.m_sessions)
    {
        if (s.m_owner != daemon || s.m_closes_at ||
            s.m_incarnation != d.m_self.m_incarnation)
            continue;
        ++usage.m_open;
        if (s.m_busy_until)
            ++usage.m_busy;
    }
    usage.m_open += static_cast<std::uint32_t>(d.m_pool.m_closed_at.size());
    usage.m_waiting = static_cast<std::uint32_t>(d.m_pool.m_waiting);
    return usage;
}

void step_pool(fake_fleet& f, std::size_t daemon)
{
    fake_pool& pool = f.m_daemons[daemon].m_pool;
    std::erase_if(pool.m_closed_at,
                  [&](time_point at)
                  {
                      return f.m_now - at >= close_delay;
                  });
    advance_to(pool.m_ledger, f.m_now);
    close_excess_sessions(f, daemon);
    run_transactions(f, daemon);
    close_excess_sessions(f, daemon);
    open_session(f, daemon);
    pool.m_monitor = may_monitor(pool.m_ledger, f.m_now);
    pool.m_monitor_contact_at = f.m_now;
    record_usage(pool.m_ledger, usage_of(f, daemon), f.m_now);
    ask_peers(f, daemon);
}

void step_endpoint(fake_fleet& f)
{
    fake_endpoint& e = f.m_endpoint;
    std::erase_if(e.m_sessions,
                  [&](const fake_session& s)
                  {
                      return (s.m_closes_at && *s.m_closes_at <= f.m_now) ||
                             f.m_now - s.m_last_contact_at >=
                                 connection_idle_timeout;
                  });
    auto open = static_cast<std::uint32_t>(e.m_sessions.size());
    for (fake_daemon& d : f.m_daemons)
    {
        if (f.m_now - d.m_pool.m_monitor_contact_at >= connection_idle_timeout)
            d.m_pool.m_monitor = false;
        open += d.m_pool.m_monitor ? 1 : 0;
    }
    // Prints every daemon's state when the limit is first exceeded; times are
    // in milliseconds from now.
    if (open + 1 > e.m_limit && e.m_limit && e.m_max_open <= e.m_limit)
    {
        fprintf(stderr,
                "endpoint limit exceeded: %u connections open at %ld ms\n",
                open + 1, (long)(f.m_now.time_since_epoch().count() / 1000000));
        for (std::size_t i = 0; i < f.m_daemons.size(); ++i)
        {
            auto& d = f.m_daemons[i];
            auto& b = d.m_pool.m_ledger;
            std::size_t n = 0;
            for (auto& s : e.m_sessions)
                n += s.m_owner == i;
            fprintf(stderr,
                    "%s.%lu runs=%d paused_until=%+ld isolated_until=%+ld "
                    "listed=%d epoch=%lu members=%lu settled=%d applied=%lu "
                    "sessions=%zu monitor=%d monitor_reserved=%d "
                    "entitled=%u enforced=%u base=%u valid_from=%+ld "
                    "valid_until=%+ld started=%+ld ",
                    d.m_self.m_name.c_str(), d.m_self.m_incarnation, runs(f, d),
                    (long)((d.m_paused_until - f.m_now).count() / 1000000),
                    (long)((d.m_isolated_until - f.m_now).count() / 1000000),
                    d.m_listed, d.m_epoch.m_number, d.m_epoch.m_members.size(),
                    d.m_settling.m_settled, d.m_applied, n, d.m_pool.m_monitor,
                    b.m_monitor_reserved, b.m_entitled_units,
                    b.m_enforced_units, b.m_ledger.m_base,
                    (long)((b.m_valid_from - f.m_now).count() / 1000000),
                    (long)((b.m_valid_until - f.m_now).count() / 1000000),
                    (long)((d.m_started_at - f.m_now).count() / 1000000));
            for (auto& l : b.m_ledger.m_lent)
                fprintf(stderr, "lent(to=%s units=%u expires=%+ld) ",
                        l.m_peer.c_str(), l.m_units,
                        (long)((l.m_expires - f.m_now).count() / 1000000));
            for (auto& l : b.m_ledger.m_borrowed)
                fprintf(stderr,
                        "borrowed(from=%s units=%u expires=%+ld passed_by=%s) ",
                        l.m_peer.c_str(), l.m_units,
                        (long)((l.m_expires - f.m_now).count() / 1000000),
                        l.m_passed_by.c_str());
            for (auto& l : b.m_expired_loans)
                fprintf(stderr, "expired(units=%u close_at=%+ld) ", l.m_units,
                        (long)((l.m_close_at - f.m_now).count() / 1000000));
            fprintf(stderr, "\n");
        }
    }
    e.m_max_open = std::max(e.m_max_open, open + order_connections);
}

void offer_transaction(fake_fleet& f, std::size_t daemon)
{
    if (runs(f, f.m_daemons[daemon]))
        ++f.m_daemons[daemon].m_pool.m_waiting;
}

}
