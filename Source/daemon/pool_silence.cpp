#include <daemon/pool_state.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::milliseconds silence_period{250};
/// Well before the endpoint's own bound, so that a late one is in time.
constexpr duration longest_silence = connection_idle_timeout / 4;

void say_something(pooled_connection& c)
{
    c.m_pg->submit("select 1",
                   [&c](pg_reply& reply)
                   {
                       c.m_heard_at = monotonic_clock::now();
                       if (!reply.m_lost)
                           dispatch(c.m_endpoint.m_group);
                   });
}

}

void break_silence(pool_state& p)
{
    const time_point now = monotonic_clock::now();
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
            for (const auto& c : e->m_connections)
                if (now - c->m_heard_at >= longest_silence &&
                    c->m_pg->state() == connection_state::idle)
                    say_something(*c);
    p.m_silence_tick.start_once(silence_period);
}

}
