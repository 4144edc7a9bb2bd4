#include <daemon/pool_state.hpp>

#include <random>
#include <utility>

#include <peer/loan_id.hpp>

namespace bluebellspoke
{

namespace
{

// A daemon that was restarted is another candidate than the one before.
std::string candidate_name(const daemon_settings& daemon)
{
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> any;
    return daemon.m_name + "." + std::to_string(any(source));
}

}

pool_state::pool_state(const daemon_settings& daemon, const pool_charts& charts,
                       mailboxes& boxes)
    : m_daemon(daemon), m_charts(charts), m_boxes(boxes), m_loop(make_loop()),
      m_candidate(candidate_name(daemon)),
      m_reaper(m_loop,
               [this]
               {
                   m_closed_connections.clear();
                   m_closed_monitors.clear();
                   m_closed_orders.clear();
                   m_closed_endpoints.clear();
               }),
      m_return_step(m_loop,
                    [this]
                    {
                        step_returns(*this);
                    }),
      m_first_loan(random_loan_id()), m_loan_tick(m_loop,
                                                  [this]
                                                  {
                                                      tend_loans(*this);
                                                  }),
      m_silence_tick(m_loop,
                     [this]
                     {
                         break_silence(*this);
                     })
{
}

pool_group::pool_group(pool_state& p, std::string name)
    : m_pool(p), m_name(std::move(name)), m_watch(p, *this)
{
}

primary_watch::primary_watch(pool_state& p, pool_group& g)
    : m_state(p.m_charts.m_group.initial()), m_tick(p.m_loop,
                                                    [&g]
                                                    {
                                                        watch_primary(g);
                                                    })
{
}

pool_endpoint::pool_endpoint(pool_group& g, endpoint_setting setting)
    : m_group(g), m_setting(std::move(setting)),
      m_book(make_connection_ledger(g.m_name + "/" + m_setting.m_name,
                                    g.m_pool.m_first_loan)),
      m_silence(g.m_pool.m_loop,
                [this]
                {
                    if (m_monitor)
                        m_monitor->close();
                }),
      m_poll(g.m_pool.m_loop,
             [this]
             {
                 hasten_poll(*this);
             }),
      m_reconnect(g.m_pool.m_loop,
                  [this]
                  {
                      start_monitor(*this);
                  })
{
}

request::request(pool_state& p, pool_group& g, pool_request&& arrived)
    : m_pool(p), m_group(g), m_arrived(std::move(arrived)),
      m_state(p.m_charts.m_request.initial()),
      m_deadline(p.m_loop,
                 [this]
                 {
                     fire(*this, request_event::expired);
                 })
{
}

transaction::transaction(pool_state& p, pool_group& g, std::string id)
    : m_pool(p), m_group(g), m_id(std::move(id)),
      m_state(p.m_charts.m_transaction.initial()),
      m_idle_limit(p.m_loop,
                   [this]
                   {
                       fire(*this, transaction_event::expired);
                   })
{
}

}
