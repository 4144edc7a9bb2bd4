#include <standin/replication_signals.hpp>

#include <csignal>

#include <standin/endpoint_session.hpp>

namespace bluebellspoke::standin
{

namespace
{

void on_cut(evutil_socket_t, short, void* user)
{
    cut_replication(*static_cast<endpoint_server*>(user));
}

void on_heal(evutil_socket_t, short, void* user)
{
    heal_replication(*static_cast<endpoint_server*>(user));
}

}

replication_signals::replication_signals(loop& l, endpoint_server& s)
    : m_cut(evsignal_new(l.m_base.get(), SIGUSR1, on_cut, &s), event_free),
      m_heal(evsignal_new(l.m_base.get(), SIGUSR2, on_heal, &s), event_free)
{
    event_add(m_cut.get(), nullptr);
    event_add(m_heal.get(), nullptr);
}

}
