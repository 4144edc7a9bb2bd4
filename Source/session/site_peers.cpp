#include <session/site_task_state.hpp>

#include <cmath>
#include <utility>

#include <model/overloaded.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

using adopt_settings = void (*)(site_task_state&, const peer_settings&);

void fetch_from(site_task_state& t, site_peer& p, adopt_settings adopt)
{
    if (std::exchange(t.m_asking_peer, true))
        return;
    call_peer(*p.m_client, peer_settings_wanted{t.m_config_object.m_revision},
              [&t, adopt](std::optional<peer_message>& answer)
              {
                  t.m_asking_peer = false;
                  const auto* m =
                      answer ? std::get_if<peer_settings>(&*answer) : nullptr;
                  if (m != nullptr)
                      adopt(t, *m);
              });
}

void apply_digest(site_task_state& t, site_peer& p, const peer_site_digest& d)
{
    ++t.m_digests_received;
    p.m_name = d.m_name;
    p.m_last = d;
    p.m_heard_at = boot_now();
    if (d.m_ending)
    {
        t.m_boxes.m_session.post(peer_ended{d.m_name});
        return;
    }
    t.m_boxes.m_session.post(weights_heard{d.m_name, news_of(t, d)});
    catch_up(t, p, d.m_store_answers, d.m_store_revision, d.m_config_version);
}

void handle_request(site_task_state& t, exchange_id exchange,
                    const peer_message& message)
{
    std::visit(
        overloaded{
            [&](const peer_site_digest& m)
            {
                if (has_cells(t))
                    return answer_peer(*t.m_peer_server, exchange,
                                       take_cell_digest(t, m));
                // Applied first, because the answer acknowledges these weights.
                const auto found = t.m_peers.find(m.m_address);
                if (found != t.m_peers.end())
                    apply_digest(t, found->second, m);
                answer_peer(*t.m_peer_server, exchange, digest_for(t, m));
            },
            [&](const peer_settings_wanted& m)
            {
                answer_peer(*t.m_peer_server, exchange,
                            describe_for_peer(t, m.m_after));
            },
            [&](const peer_vote_wanted& m)
            {
                answer_peer(*t.m_peer_server, exchange, take_vote_wanted(t, m));
            },
            [&](const peer_tokens_wanted& m)
            {
                take_tokens_wanted(t, exchange, m);
            },
            [&](const auto&)
            {
                answer_peer(*t.m_peer_server, exchange,
                            peer_declined{t.m_settings.m_name});
            },
        },
        message);
}

// Consecutive immediate refusals of connections show that the peer's process
// has ended. A missing answer alone doesn't.
void record_refusal(site_task_state& t, site_peer& p, bool answered)
{
    constexpr std::chrono::milliseconds max_refusal_time{250};
    constexpr std::uint32_t refusals_until_ended = 2;
    const bool refused =
        !answered && boot_now() - p.m_asked_at < max_refusal_time;
    p.m_refusals = refused ? p.m_refusals + 1 : 0;
    if (p.m_refusals == refusals_until_ended && !p.m_name.empty())
        t.m_boxes.m_session.post(peer_ended{p.m_name});
}

void send_digest(site_task_state& t, site_peer& p)
{
    ++t.m_digests_sent;
    p.m_asking = true;
    p.m_asked_at = boot_now();
    p.m_told = t.m_weights.m_number;
    call_peer(*p.m_client, digest_for(t, p.m_last),
              [&t, &p](std::optional<peer_message>& answer)
              {
                  p.m_asking = false;
                  const auto* m = answer
                                      ? std::get_if<peer_site_digest>(&*answer)
                                      : nullptr;
                  note_reached(p, m != nullptr);
                  if (m != nullptr)
                      apply_digest(t, p, *m);
                  record_refusal(t, p, m != nullptr);
              });
}

void add_peer(site_task_state& t, const address& at, std::string_view name)
{
    if (at == t.m_settings.m_peer_listen)
        return;
    site_peer& p = t.m_peers[to_string(at)];
    if (!p.m_client)
    {
        p.m_client = std::make_unique<http2_client>(t.m_loop, at);
        p.m_heard_at = boot_now();
    }
    if (!name.empty())
        p.m_name = name;
}

}

peer_site_digest digest_for(const site_task_state& t,
                            const std::optional<peer_site_digest>& heard)
{
    peer_site_digest d;
    d.m_name = t.m_settings.m_name;
    d.m_address = to_string(t.m_settings.m_peer_listen);
    d.m_zone = t.m_settings.m_zone;
    d.m_store_answers = store_answers(t);
    d.m_store_revision = store_revision(t);
    d.m_config_version = t.m_config ? t.m_config->m_version : 0;
    d.m_incarnation = weights_incarnation(t);
    d.m_weights_number = t.m_weights.m_number;
    d.m_ending = t.m_ending;
    constexpr double tenths = 10;
    for (const auto& [workspace, weight] : t.m_weights.m_weights)
        if (weight > 0)
            d.m_weights.push_back({workspace, static_cast<std::uint32_t>(
                                                  std::ceil(weight * tenths))});
    if (heard)
    {
        d.m_seen_incarnation = heard->m_incarnation;
        d.m_seen_number = heard->m_weights_number;
    }
    return d;
}

demand_news news_of(const site_task_state& t, const peer_site_digest& d)
{
    demand_news update;
    update.m_incarnation = d.m_incarnation;
    update.m_number = d.m_weights_number;
    constexpr double tenths = 10;
    for (const peer_weight& w : d.m_weights)
        update.m_weights[w.m_workspace] = w.m_tenths / tenths;
    // The peer may have seen the weights of an earlier incarnation.
    if (d.m_seen_incarnation == weights_incarnation(t))
        update.m_acked = d.m_seen_number;
    return update;
}

void catch_up(site_task_state& t, site_peer& p, bool peer_has_store,
              std::uint64_t revision, std::uint64_t config_version)
{
    const std::uint64_t own = t.m_config ? t.m_config->m_version : 0;
    // The store doesn't answer this process, or a watch has stalled.
    if (config_version > own ||
        (!store_answers(t) && peer_has_store && revision > store_revision(t)))
        fetch_from(t, p, adopt_from_peer);
}

void follow_content(site_task_state& t, site_peer& leader,
                    std::uint64_t content)
{
    if (content > t.m_content)
        fetch_from(t, leader, adopt_from_keeper);
}

void note_reached(site_peer& p, bool reached)
{
    if (p.m_reached == reached)
        return;
    p.m_reached = reached;
    log_event(
        reached ? event_id::peer_reached : event_id::peer_lost,
        {{"peer", p.m_name}, {"address", to_string(p.m_client->server())}});
}

duration digest_period_of(const site_task_state& t, std::uint64_t told)
{
    const bool urgent = t.m_weights_urgent && told < t.m_weights.m_number;
    return urgent ? duration(urgent_digest_period) : duration(digest_period);
}

void start_peers(site_task_state& t)
{
    http2_server_handlers handlers;
    handlers.m_on_request = [&t](arrived_request& arrived)
    {
        if (const auto message = take_peer_request(*t.m_peer_server, arrived))
            handle_request(t, arrived.m_exchange, *message);
    };
    handlers.m_on_abandoned = [](exchange_id) {};
    handlers.m_on_disconnect = [](connection_id) {};
    t.m_peer_server = std::make_unique<http2_server>(
        t.m_loop, t.m_settings.m_peer_listen, http2_server_limits(),
        std::move(handlers));
    add_seeds(t);
}

void add_seeds(site_task_state& t)
{
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
    if (has_cells(t))
        return send_cell_digests(t, now);
    for (auto& [at, p] : t.m_peers)
    {
        const bool has_update = p.m_told < t.m_weights.m_number;
        // One side of each pair sends digests; the answers carry the other's.
        const bool other_asks = !p.m_name.empty() &&
                                p.m_name < t.m_settings.m_name &&
                                store_answers(t) && p.m_last && !has_update;
        if (!p.m_asking && !other_asks &&
            now - p.m_asked_at >= digest_period_of(t, p.m_told))
            send_digest(t, p);
    }
}

void say_goodbye(site_task_state& t)
{
    t.m_ending = true;
    if (has_cells(t))
        return leave_cell(t);
    for (auto& [at, p] : t.m_peers)
        send_digest(t, p);
}

void tell_weights(site_task_state& t, const weights_told& m)
{
    // From an earlier time as leader; these weights no longer apply.
    if (has_cells(t) && m.m_incarnation != t.m_cell.m_incarnation)
        return;
    t.m_weights = m.m_telling;
    t.m_weights_urgent = m.m_urgent;
    send_digests(t);
}

}
