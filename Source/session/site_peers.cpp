#include <session/site_task_state.hpp>

#include <cmath>
#include <utility>

#include <decide/first_settings.hpp>
#include <decide/load/client_budget.hpp>
#include <model/overloaded.hpp>
#include <peer/peer_codec.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

void log_fetch(const site_task_state& t, const site_peer& p, event_id id)
{
    log_event(id, {{"peer", p.m_name},
                   {"version",
                    std::to_string(t.m_config ? t.m_config->m_version : 0)},
                   {"revision", std::to_string(known_revision(t))}});
}

peer_settings_request make_settings_request(const site_task_state& t,
                                            peer_settings_part part)
{
    peer_settings_request m;
    m.m_after = t.m_wants_full_config ? 0 : t.m_config_object.m_revision;
    m.m_part = part;
    m.m_known = {watch_of(t, stored_kind::configuration).m_revision,
                 watch_of(t, stored_kind::endpoints).m_revision,
                 watch_of(t, stored_kind::evacuations).m_revision};
    if (part == peer_settings_part::members && !t.m_wants_full_members)
        m.m_known->m_members = watch_of(t, stored_kind::members).m_revision;
    m.m_wants_members = t.m_members.empty();
    return m;
}

bool& pending_fetch(site_peer& p, peer_settings_part part)
{
    switch (part)
    {
    case peer_settings_part::configuration:
        return p.m_config_fetch_pending;
    case peer_settings_part::members:
        return p.m_members_fetch_pending;
    case peer_settings_part::all:
    case peer_settings_part::lists:
        break;
    }
    return p.m_lists_fetch_pending;
}

bool is_first_fetch_due(site_task_state& t, peer_settings_part part)
{
    first_settings_state s;
    s.m_started_at = t.m_started_at;
    s.m_store_failed = has_failed_watch(t);
    s.m_last_fetch_at = t.m_last_fetch_at;
    for (auto& [at, p] : t.m_peers)
        s.m_pending_fetches += pending_fetch(p, part) ? 1U : 0U;
    return may_fetch_first_settings(s, boot_now());
}

// The configuration, the lists and the members are fetched separately, so that
// none of them waits until another one has arrived.
void fetch_part(site_task_state& t, site_peer& p, peer_settings_part part)
{
    bool& pending = pending_fetch(p, part);
    if (pending)
        return;
    send_to_peer(t, *p.m_client, make_settings_request(t, part),
                 [&t, &p, &pending](std::optional<peer_message>& answer)
                 {
                     pending = false;
                     const auto* m = answer
                                         ? std::get_if<peer_settings>(&*answer)
                                         : nullptr;
                     if (m == nullptr)
                         log_fetch(t, p, event_id::settings_fetch_failed);
                     else if (!adopt_from_peer(t, *m))
                         log_fetch(t, p, event_id::settings_fetch_useless);
                 });
    // Not before: if it can't be sent, nothing resets it.
    pending = true;
    t.m_last_fetch_at = boot_now();
}

void apply_digest(site_task_state& t, site_peer& p, const peer_site_digest& d)
{
    ++t.m_digests_received;
    p.m_name = d.m_name;
    p.m_last_contact_at = boot_now();
    record_peer_clock(t, d.m_name, d.m_wall_ms);
    peer_site_digest received = d;
    if (d.m_shutting_down)
        t.m_boxes.m_session.post(peer_ended{d.m_name});
    else
        t.m_boxes.m_session.post(
            peer_demand_changed{d.m_name, make_demand_update(t, d)});
    // The next digest acknowledges the weights, so the session task has them
    // before, also after an exception.
    p.m_last_digest = std::move(received);
    if (d.m_shutting_down)
        return;
    fetch_if_behind(t, p, d.m_store_is_available, d.m_store_revision,
                    d.m_config_version);
}

void handle_request(site_task_state& t, exchange_id exchange,
                    const peer_message& message)
{
    std::visit(
        overloaded{
            [&](const peer_site_digest& m)
            {
                if (has_zone_cells(t))
                    return send_answer(t, exchange, answer_cell_digest(t, m));
                // Applied first, because the answer acknowledges these weights.
                const auto found = t.m_peers.find(m.m_address);
                if (found != t.m_peers.end())
                    apply_digest(t, found->second, m);
                send_answer(t, exchange, make_digest(t, m));
            },
            [&](const peer_settings_request& m)
            {
                send_answer(t, exchange, make_peer_settings(t, m));
            },
            [&](const peer_vote_request& m)
            {
                send_answer(t, exchange, answer_vote_request(t, m));
            },
            [&](const peer_restart_request&)
            {
                send_answer(t, exchange, answer_restart_request(t));
            },
            [&](const peer_token_request& m)
            {
                forward_token_request(t, exchange, m);
            },
            [&](const peer_group_request& m)
            {
                forward_group_request(t, exchange, m);
            },
            [&](const peer_usage_request& m)
            {
                send_answer(t, exchange, answer_usage_request(t, m));
            },
            [&](const peer_usage& m)
            {
                apply_peer_usage(t, m);
                send_answer(t, exchange, peer_declined{t.m_settings.m_name});
            },
            [&](const auto&)
            {
                send_answer(t, exchange, peer_declined{t.m_settings.m_name});
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
    // An answer that met an exception shows that the process runs.
    const bool failed_here = std::exchange(p.m_answer_failed, false);
    const bool refused = !answered && !failed_here &&
                         boot_now() - p.m_requested_at < max_refusal_time;
    p.m_refusals = refused ? p.m_refusals + 1 : 0;
    if (p.m_refusals == refusals_until_ended && !p.m_name.empty())
        t.m_boxes.m_session.post(peer_ended{p.m_name});
}

void send_digest(site_task_state& t, site_peer& p)
{
    ++t.m_digests_sent;
    p.m_request_pending = true;
    p.m_requested_at = boot_now();
    p.m_announced_version = t.m_weights.m_version;
    send_to_peer(t, *p.m_client, make_digest(t, p.m_last_digest),
                 [&t, &p](std::optional<peer_message>& answer)
                 {
                     p.m_request_pending = false;
                     const auto* m =
                         answer ? std::get_if<peer_site_digest>(&*answer)
                                : nullptr;
                     set_reachable(p, m != nullptr);
                     if (m != nullptr)
                         apply_digest(t, p, *m);
                     record_refusal(t, p, m != nullptr);
                 });
}

// `kind` is empty if the answer wasn't received whole.
void note_failed_answer(site_task_state& t, const http2_client& peer,
                        std::string_view kind, const std::exception& e)
{
    ++t.m_peer_answers_failed;
    const std::string at = to_string(peer.server());
    const auto p = t.m_peers.find(at);
    if (p != t.m_peers.end())
        p->second.m_answer_failed = true;
    log_event(event_id::peer_answer_failed, {{"address", at},
                                             {"message", std::string(kind)},
                                             {"failure", e.what()}});
}

void add_peer(site_task_state& t, const address& at, std::string_view name)
{
    if (at == t.m_settings.m_peer_listen)
        return;
    site_peer& p = t.m_peers[to_string(at)];
    if (!p.m_client)
    {
        p.m_client = std::make_unique<http2_client>(t.m_loop, at);
        p.m_client->drop_failed(
            [&t, &p](const std::exception& e)
            {
                note_failed_answer(t, *p.m_client, {}, e);
            });
        p.m_last_contact_at = boot_now();
    }
    if (name.empty())
        return;
    // A member that registers again lives, however long it was silent before.
    if (!std::exchange(p.m_is_member, true))
        p.m_last_contact_at = boot_now();
    p.m_name = name;
}

}

void send_to_peer(site_task_state& t, http2_client& peer,
                  const peer_message& message, peer_callback done)
{
    const std::string_view kind = peer_message_kind(message);
    const std::size_t bytes =
        call_peer(peer, message, std::move(done),
                  [&t, &peer, kind](const std::exception& e)
                  {
                      note_failed_answer(t, peer, kind, e);
                  });
    record_sent(t.m_traffic, kind, bytes);
}

void send_answer(site_task_state& t, exchange_id exchange,
                 const peer_message& message)
{
    const std::size_t bytes = answer_peer(*t.m_peer_server, exchange, message);
    record_sent(t.m_traffic, peer_message_kind(message), bytes);
}

peer_site_digest make_digest(const site_task_state& t,
                             const std::optional<peer_site_digest>& received)
{
    peer_site_digest d;
    d.m_name = t.m_settings.m_name;
    d.m_address = to_string(t.m_settings.m_peer_listen);
    d.m_zone = t.m_settings.m_zone;
    d.m_store_is_available = is_store_available(t);
    d.m_store_revision = known_revision(t);
    d.m_config_version = t.m_config ? t.m_config->m_version : 0;
    d.m_incarnation = weights_incarnation(t);
    d.m_weights_version = t.m_weights.m_version;
    d.m_shutting_down = t.m_ending;
    d.m_leads_cell = t.m_cell.m_state == cell_state::leader;
    // With cells the clocks travel with the votes.
    if (!has_zone_cells(t))
        d.m_wall_ms = wall_ms_to_send(t);
    constexpr double tenths = 10;
    for (const auto& [workspace, weight] : t.m_weights.m_weights)
        if (weight > 0)
            d.m_weights.push_back({workspace, static_cast<std::uint32_t>(
                                                  std::ceil(weight * tenths))});
    if (received)
    {
        d.m_seen_incarnation = received->m_incarnation;
        d.m_seen_weights_version = received->m_weights_version;
    }
    return d;
}

peer_site_digest make_store_digest(const site_task_state& t)
{
    peer_site_digest d = make_digest(t, std::nullopt);
    d.m_weights.clear();
    d.m_weights_version = 0;
    return d;
}

demand_update make_demand_update(const site_task_state& t,
                                 const peer_site_digest& d)
{
    demand_update update;
    update.m_incarnation = d.m_incarnation;
    update.m_version = d.m_weights_version;
    constexpr double tenths = 10;
    for (const peer_workspace_demand& w : d.m_weights)
        update.m_weights[w.m_workspace] = w.m_operations_per_10s / tenths;
    // The peer may have seen the weights of an earlier incarnation.
    if (d.m_seen_incarnation == weights_incarnation(t))
        update.m_acked_version = d.m_seen_weights_version;
    return update;
}

void fetch_if_behind(site_task_state& t, site_peer& p, bool peer_has_store,
                     std::uint64_t revision, std::uint64_t config_version)
{
    const std::uint64_t own = t.m_config ? t.m_config->m_version : 0;
    if (config_version > own && t.m_behind_since == time_point{})
        t.m_behind_since = boot_now();
    const auto fetch = [&](peer_settings_part part, bool has_part)
    {
        if (has_part || is_first_fetch_due(t, part))
            fetch_part(t, p, part);
    };
    const bool has_lists = known_revision(t) > 0;
    // A watch has stalled.
    if (config_version > own)
        fetch(peer_settings_part::configuration, t.m_config != nullptr);
    // The store doesn't answer this process.
    if (!is_store_available(t) && peer_has_store &&
        revision > known_revision(t))
    {
        fetch(peer_settings_part::configuration, t.m_config != nullptr);
        fetch(peer_settings_part::lists, has_lists);
    }
}

void fetch_newer_content(site_task_state& t, site_peer& leader,
                         const peer_vote_request& claim)
{
    if (claim.m_endpoints_revision >
            watch_of(t, stored_kind::endpoints).m_revision ||
        claim.m_evacuations_revision >
            watch_of(t, stored_kind::evacuations).m_revision)
        fetch_part(t, leader, peer_settings_part::lists);
    if (claim.m_members_revision > watch_of(t, stored_kind::members).m_revision)
        fetch_part(t, leader, peer_settings_part::members);
}

void set_reachable(site_peer& p, bool reachable)
{
    if (p.m_is_reachable == reachable)
        return;
    p.m_is_reachable = reachable;
    log_event(
        reachable ? event_id::peer_reached : event_id::peer_lost,
        {{"peer", p.m_name}, {"address", to_string(p.m_client->server())}});
}

duration digest_interval_for(const site_task_state& t,
                             std::uint64_t announced_version)
{
    const bool urgent =
        t.m_weights_urgent && announced_version < t.m_weights.m_version;
    return urgent ? duration(urgent_digest_interval)
                  : duration(digest_interval);
}

void start_peers(site_task_state& t)
{
    http2_server_handlers handlers;
    handlers.m_on_request = [&t](arrived_request& request)
    {
        if (const auto message = decode_peer_request(*t.m_peer_server, request))
            handle_request(t, request.m_exchange, *message);
    };
    handlers.m_on_abandoned = [](exchange_id) {};
    handlers.m_on_disconnect = [](connection_id) {};
    const client_limits budget = make_client_limits(t.m_settings.m_memory_bytes,
                                                    t.m_settings.m_descriptors);
    http2_server_limits limits;
    limits.m_connections = budget.m_peer_connections;
    limits.m_pending_bytes = budget.m_peer_bytes;
    t.m_peer_server = std::make_unique<http2_server>(
        t.m_loop, t.m_settings.m_peer_listen, limits, std::move(handlers));
    add_seeds(t);
}

void add_seeds(site_task_state& t)
{
    for (const address& seed : t.m_settings.m_seeds)
        add_peer(t, seed, {});
}

void update_peers(site_task_state& t)
{
    for (auto& [at, p] : t.m_peers)
        p.m_is_member = p.m_is_member && t.m_members.contains(p.m_name);
    for (const auto& [name, m] : t.m_members)
        add_peer(t, m.m_address, name);
}

void send_digests(site_task_state& t)
{
    const time_point now = boot_now();
    if (has_zone_cells(t))
        return send_cell_digests(t, now);
    for (auto& [at, p] : t.m_peers)
    {
        const bool has_update = p.m_announced_version < t.m_weights.m_version;
        // One side of each pair sends digests; the answers carry the other's.
        const bool other_asks =
            !p.m_name.empty() && p.m_name < t.m_settings.m_name &&
            is_store_available(t) && p.m_last_digest && !has_update;
        if (!p.m_request_pending && !other_asks &&
            now - p.m_requested_at >=
                digest_interval_for(t, p.m_announced_version))
            send_digest(t, p);
    }
}

void announce_shutdown(site_task_state& t)
{
    t.m_ending = true;
    hand_over_usage(t);
    if (has_zone_cells(t))
        return leave_cell(t);
    for (auto& [at, p] : t.m_peers)
        send_digest(t, p);
}

void announce_weights(site_task_state& t, const local_demand_changed& m)
{
    // From an earlier time as leader; these weights no longer apply.
    if (has_zone_cells(t) && m.m_incarnation != t.m_cell.m_incarnation)
        return;
    t.m_weights = m.m_announcement;
    t.m_weights_urgent = m.m_urgent;
    send_digests(t);
}

}
