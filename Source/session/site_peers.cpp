#include <session/site_task_state.hpp>

#include <algorithm>

#include <model/overloaded.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

peer_site_digest digest_of(const site_task_state& t)
{
    return {t.m_settings.m_name, to_string(t.m_settings.m_peer_listen),
            t.m_settings.m_zone, store_answers(t),
            store_revision(t),   t.m_config ? t.m_config->m_version : 0};
}

// What a peer has heard and this process hasn't, because the store doesn't
// answer it or a watch went silent.
bool knows_more(const site_task_state& t, const peer_site_digest& d)
{
    const std::uint64_t own = t.m_config ? t.m_config->m_version : 0;
    if (d.m_config_version > own)
        return true;
    return !store_answers(t) && d.m_store_answers &&
           d.m_store_revision > store_revision(t);
}

void fetch_from(site_task_state& t, site_peer& p)
{
    if (std::exchange(t.m_asking_peer, true))
        return;
    call_peer(*p.m_client, peer_settings_wanted{t.m_config_object.m_revision},
              [&t](std::optional<peer_message>& answer)
              {
                  t.m_asking_peer = false;
                  const auto* m =
                      answer ? std::get_if<peer_settings>(&*answer) : nullptr;
                  if (m != nullptr)
                      adopt_from_peer(t, *m);
              });
}

void note_reached(site_peer& p, std::string_view at, bool reached)
{
    if (p.m_reached == reached)
        return;
    p.m_reached = reached;
    log_event(reached ? event_id::peer_reached : event_id::peer_lost,
              {{"peer", p.m_name}, {"address", std::string(at)}});
}

void learn(site_task_state& t, site_peer& p, const peer_site_digest& d)
{
    p.m_name = d.m_name;
    p.m_last = d;
    if (knows_more(t, d))
        fetch_from(t, p);
}

void take_message(site_task_state& t, exchange_id exchange,
                  const peer_message& message)
{
    std::visit(
        overloaded{
            [&](const peer_site_digest& m)
            {
                answer_peer(*t.m_peer_server, exchange, digest_of(t));
                const auto found = t.m_peers.find(m.m_address);
                if (found != t.m_peers.end())
                    learn(t, found->second, m);
            },
            [&](const peer_settings_wanted& m)
            {
                answer_peer(*t.m_peer_server, exchange,
                            describe_for_peer(t, m.m_after));
            },
            [&](const peer_loan_ask& m)
            {
                t.m_boxes.m_session.post(loan_asked{
                    exchange, m.m_kind, m.m_resource, from_message(m)});
            },
            [&](const auto&)
            {
                answer_peer(*t.m_peer_server, exchange,
                            peer_declined{t.m_settings.m_name});
            },
        },
        message);
}

void add_peer(site_task_state& t, const address& at, std::string_view name)
{
    if (at == t.m_settings.m_peer_listen)
        return;
    site_peer& p = t.m_peers[to_string(at)];
    if (!p.m_client)
        p.m_client = std::make_unique<http2_client>(t.m_loop, at);
    if (!name.empty())
        p.m_name = name;
}

}

void start_peers(site_task_state& t)
{
    http2_server_handlers handlers;
    handlers.m_on_request = [&t](arrived_request& arrived)
    {
        if (const auto message = take_peer_request(*t.m_peer_server, arrived))
            take_message(t, arrived.m_exchange, *message);
    };
    handlers.m_on_abandoned = [](exchange_id) {};
    handlers.m_on_disconnect = [](connection_id) {};
    t.m_peer_server = std::make_unique<http2_server>(
        t.m_loop, t.m_settings.m_peer_listen, http2_server_limits(),
        std::move(handlers));
    for (const address& seed : t.m_settings.m_seeds)
        add_peer(t, seed, {});
}

void update_peers(site_task_state& t)
{
    for (const auto& [name, m] : t.m_members)
        add_peer(t, m.m_address, name);
}

void send_digests(site_task_state& t)
{
    const time_point now = boot_now();
    if (now < t.m_digest_at)
        return;
    t.m_digest_at = now + digest_period;
    for (auto& [at, p] : t.m_peers)
    {
        // One side of each pair asks; the answer tells the other's news.
        if (!p.m_name.empty() && p.m_name < t.m_settings.m_name &&
            store_answers(t))
            continue;
        call_peer(*p.m_client, digest_of(t),
                  [&t, &p = p, &at = at](std::optional<peer_message>& answer)
                  {
                      const auto* m =
                          answer ? std::get_if<peer_site_digest>(&*answer)
                                 : nullptr;
                      note_reached(p, at, m != nullptr);
                      if (m != nullptr)
                          learn(t, p, *m);
                  });
    }
}

void ask_for_loan(site_task_state& t, const loan_wanted& wanted)
{
    const auto peer =
        std::ranges::find_if(t.m_peers,
                             [&](const auto& entry)
                             {
                                 return entry.second.m_name == wanted.m_lender;
                             });
    if (peer == t.m_peers.end())
        return;
    const time_point asked_at = boot_now();
    call_peer(*peer->second.m_client, to_message(t.m_settings.m_name, wanted),
              [&t, asked_at, kind = wanted.m_kind, resource = wanted.m_resource,
               lender = wanted.m_lender](std::optional<peer_message>& answer)
              {
                  const auto* given =
                      answer ? std::get_if<peer_loan>(&*answer) : nullptr;
                  if (given != nullptr)
                      t.m_boxes.m_session.post(
                          loan_arrived{kind, resource, lender,
                                       from_message(*given), asked_at});
              });
}

}
