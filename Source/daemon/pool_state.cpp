#include <daemon/pool_state.hpp>

#include <utility>

namespace bluebellspoke
{

pool_state::pool_state(const daemon_settings& daemon, const pool_charts& charts,
                       mailboxes& boxes)
    : m_daemon(daemon), m_charts(charts), m_boxes(boxes), m_loop(make_loop()),
      m_reaper(m_loop,
               [this]
               {
                   m_closed_connections.clear();
                   m_closed_monitors.clear();
                   m_closed_endpoints.clear();
               }),
      m_return_step(m_loop,
                    [this]
                    {
                        step_returns(*this);
                    })
{
}

pool_group::pool_group(pool_state& p, std::string name)
    : m_pool(p), m_name(std::move(name))
{
}

pool_endpoint::pool_endpoint(pool_group& g, endpoint_setting setting)
    : m_group(g), m_setting(std::move(setting)), m_poll(g.m_pool.m_loop,
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
