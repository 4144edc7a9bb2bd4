#include <session/site_task_state.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Returns the address at which another cell's leader is tried next. While it is
// unknown, that cell's members are asked in turn.
std::string address_to_try(const site_task_state& t, std::string_view zone,
                           const remote_cell& other)
{
    if (!other.m_leader_address.empty())
        return other.m_leader_address;
    const auto ranks = cell_ranks(t, zone);
    if (ranks.empty())
        return {};
    return to_string(
        t.m_members.at(ranks[other.m_failed_lookups % ranks.size()].m_name)
            .m_address);
}

demand_delta delta_in(const peer_site_digest& d)
{
    return {d.m_incarnation, d.m_weights_version, d.m_weights_since.value_or(0),
            weights_in(d)};
}

void record_ack(demand_exchange& x, const peer_site_digest& d, time_point now)
{
    x.m_ack = {d.m_seen_incarnation, d.m_seen_weights_version,
               d.m_weights_since.has_value(), d.m_address, now};
}

demand_update make_cell_update(const site_task_state& t,
                               const demand_exchange& x)
{
    demand_update update{x.m_incarnation, x.m_version, x.m_weights};
    // The peer may have seen the weights of an earlier incarnation.
    if (x.m_ack.m_incarnation == weights_incarnation(t))
        update.m_acked_version = x.m_ack.m_version;
    return update;
}

void apply_weights(site_task_state& t, remote_cell& other,
                   const peer_site_digest& d, time_point now)
{
    demand_exchange& x = other.m_exchange;
    const delta_result result = apply_delta(x, delta_in(d));
    if (result == delta_result::replaced)
        return;
    other.m_leader_address = d.m_address;
    if (result == delta_result::held)
    {
        record_ack(x, d, now);
        t.m_boxes.m_session.post(
            peer_demand_changed{d.m_zone, make_cell_update(t, x)});
        return;
    }
    // The next digest acknowledges older weights, or none, so that the answer
    // to it can be applied.
    log_event(event_id::weights_delta_refused,
              {{"cell", d.m_zone},
               {"peer", d.m_name},
               {"since", std::to_string(d.m_weights_since.value_or(0))},
               {"version", std::to_string(x.m_version)}});
}

void apply_digest(site_task_state& t, site_peer& p, const peer_site_digest& d,
                  time_point now)
{
    ++t.m_digests_received;
    p.m_last_contact_at = now;
    remote_cell& other = t.m_cell.m_other_cells[d.m_zone];
    other.m_failed_lookups = 0;
    if (d.m_shutting_down)
    {
        other.m_leader_address.clear();
        end_exchange(other.m_exchange);
        t.m_boxes.m_session.post(peer_ended{d.m_zone});
        return;
    }
    apply_weights(t, other, d, now);
    fetch_if_behind(t, p, d.m_store_is_available, d.m_store_revision,
                    d.m_config_version);
}

void record_miss(remote_cell& other)
{
    other.m_leader_address.clear();
    ++other.m_failed_lookups;
}

peer_site_digest make_cell_digest(const site_task_state& t,
                                  const demand_exchange& x,
                                  std::string_view address, time_point now)
{
    const std::uint64_t incarnation = weights_incarnation(t);
    const demand_delta delta = make_delta(
        t.m_weights, incarnation, delta_base(x, incarnation, address, now));
    peer_site_digest d = make_store_digest(t);
    d.m_weights_version = delta.m_version;
    d.m_weights_since = delta.m_since;
    for (const auto& weight : delta.m_weights)
        d.m_weights.push_back(to_wire(weight));
    d.m_seen_incarnation = x.m_incarnation;
    d.m_seen_weights_version = x.m_version;
    return d;
}

void record_announced(const site_task_state& t, remote_cell& other,
                      time_point now)
{
    other.m_exchanged_at = now;
    other.m_announced_version = t.m_weights.m_version;
}

void send_cell_digest(site_task_state& t, const std::string& zone,
                      remote_cell& other, time_point now)
{
    const auto p = t.m_peers.find(address_to_try(t, zone, other));
    if (p == t.m_peers.end())
        return;
    site_peer& peer = p->second;
    send_to_peer(t, *peer.m_client,
                 start_cell_exchange(t, other, p->first, now),
                 [&t, &peer, &other](std::optional<peer_message>& answer)
                 {
                     finish_cell_exchange(t, peer, other, answer, boot_now());
                 });
}

constexpr auto to_milliseconds = [](duration d)
{
    constexpr std::int64_t max_ms = 60'000;
    return static_cast<std::uint32_t>(std::min(
        max_ms,
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count()));
};

std::vector<peer_workspace_tokens>
to_wire(std::span<const workspace_tokens> tokens)
{
    std::vector<peer_workspace_tokens> out;
    out.reserve(tokens.size());
    for (const workspace_tokens& w : tokens)
        out.push_back({w.m_workspace, w.m_count, to_milliseconds(w.m_wait)});
    return out;
}

std::vector<workspace_tokens>
from_wire(std::span<const peer_workspace_tokens> tokens)
{
    std::vector<workspace_tokens> out;
    out.reserve(tokens.size());
    for (const peer_workspace_tokens& w : tokens)
        out.push_back({w.m_workspace, w.m_count,
                       std::chrono::milliseconds(w.m_retry_after_ms)});
    return out;
}

}

peer_message answer_cell_digest(site_task_state& t, const peer_site_digest& m,
                                time_point now)
{
    if (!m.m_leads_cell)
        return make_store_digest(t);
    if (!leads_cell(t, now))
        return peer_referral{t.m_cell.m_leader_address};
    const auto found = t.m_peers.find(m.m_address);
    // Its weights aren't applied, so they aren't acknowledged either.
    if (found == t.m_peers.end())
        return make_digest(t, std::nullopt);
    // Applied first, because the answer acknowledges these weights.
    apply_digest(t, found->second, m, now);
    remote_cell& other = t.m_cell.m_other_cells[m.m_zone];
    record_announced(t, other, now);
    return make_cell_digest(t, other.m_exchange, m.m_address, now);
}

bool is_cell_digest_due(const site_task_state& t, std::string_view zone,
                        const remote_cell& other, time_point now)
{
    if (other.m_request_pending)
        return false;
    const demand_exchange& x = other.m_exchange;
    // An exchange carries the weights of both, whoever asks. So one side of a
    // pair asks, and the other one only if it has weights that weren't sent.
    const bool other_asks = zone < t.m_settings.m_zone &&
                            x.m_ack.m_received_at != time_point{} &&
                            other.m_announced_version >= t.m_weights.m_version;
    const std::uint64_t incarnation = weights_incarnation(t);
    const bool urgent =
        t.m_weights_urgent && !is_acked(x, incarnation, t.m_weights.m_version);
    // A cell whose leader isn't known, or hasn't received any of these weights,
    // is queried at the urgent interval.
    const bool must_find = other.m_leader_address.empty() ||
                           x.m_ack.m_address != other.m_leader_address ||
                           x.m_ack.m_incarnation != incarnation;
    if (other_asks && !urgent)
        return false;
    const duration interval = urgent || must_find
                                  ? duration(urgent_digest_interval)
                                  : duration(digest_interval);
    return now - other.m_exchanged_at >= interval;
}

peer_site_digest start_cell_exchange(site_task_state& t, remote_cell& other,
                                     std::string_view address, time_point now)
{
    ++t.m_digests_sent;
    other.m_request_pending = true;
    record_announced(t, other, now);
    return make_cell_digest(t, other.m_exchange, address, now);
}

void finish_cell_exchange(site_task_state& t, site_peer& p, remote_cell& other,
                          const std::optional<peer_message>& answer,
                          time_point now)
{
    other.m_request_pending = false;
    if (!answer)
        return record_miss(other);
    const auto* digest = std::get_if<peer_site_digest>(&*answer);
    if (digest != nullptr && digest->m_leads_cell)
        return apply_digest(t, p, *digest, now);
    record_miss(other);
    if (const auto* m = std::get_if<peer_referral>(&*answer))
        other.m_leader_address = m->m_leader_address;
}

void send_cell_digests(site_task_state& t, time_point now)
{
    if (!leads_cell(t, now))
        return;
    for (const std::string& zone : cell_zones(t))
    {
        if (zone == t.m_settings.m_zone)
            continue;
        remote_cell& other = t.m_cell.m_other_cells[zone];
        if (is_cell_digest_due(t, zone, other, now))
            send_cell_digest(t, zone, other, now);
    }
}

void send_final_cell_digests(site_task_state& t)
{
    for (auto& [zone, other] : t.m_cell.m_other_cells)
        send_cell_digest(t, zone, other, boot_now());
}

void request_tokens(site_task_state& t, const token_request& m)
{
    const auto leader = t.m_peers.find(t.m_cell.m_leader_address);
    if (leader == t.m_peers.end())
    {
        t.m_boxes.m_session.post(token_response());
        return;
    }
    send_to_peer(
        t, *leader->second.m_client, peer_token_request{to_wire(m.m_tokens)},
        [&t](std::optional<peer_message>& answer)
        {
            const auto* grant =
                answer ? std::get_if<peer_token_grant>(&*answer) : nullptr;
            if (grant != nullptr && grant->m_from_leader)
                t.m_boxes.m_session.post(
                    token_response{true, from_wire(grant->m_tokens)});
            else
                t.m_boxes.m_session.post(token_response());
        });
}

void forward_token_request(site_task_state& t, exchange_id exchange,
                           const peer_token_request& m)
{
    t.m_boxes.m_session.post(
        incoming_token_request{exchange, from_wire(m.m_tokens)});
}

void answer_token_request(site_task_state& t, const outgoing_token_grant& m)
{
    send_answer(t, m.m_exchange,
                peer_token_grant{m.m_is_leader, to_wire(m.m_tokens)});
}

void request_groups_from(site_task_state& t, const std::string& leader_address,
                         const group_request& m)
{
    const time_point requested_at = m.m_requested_at;
    const auto leader = t.m_peers.find(leader_address);
    if (leader == t.m_peers.end())
    {
        t.m_boxes.m_session.post(group_response{{}, requested_at});
        return;
    }
    send_to_peer(t, *leader->second.m_client,
                 peer_group_request{m.m_services,
                                    m.m_source == group_source::other_leaders},
                 [&t, requested_at](std::optional<peer_message>& answer)
                 {
                     group_response response{{}, requested_at};
                     auto* groups =
                         answer ? std::get_if<peer_groups>(&*answer) : nullptr;
                     if (groups != nullptr && groups->m_from_leader)
                         response.m_groups = std::move(groups->m_groups);
                     t.m_boxes.m_session.post(std::move(response));
                 });
}

void request_groups(site_task_state& t, const group_request& m)
{
    if (m.m_source == group_source::own_leader)
        return request_groups_from(t, t.m_cell.m_leader_address, m);
    for (const auto& [zone, other] : t.m_cell.m_other_cells)
        if (!other.m_leader_address.empty())
            request_groups_from(t, other.m_leader_address, m);
}

void forward_group_request(site_task_state& t, exchange_id exchange,
                           const peer_group_request& m)
{
    t.m_boxes.m_session.post(
        incoming_group_request{exchange, m.m_services, m.m_from_other_cell});
}

void answer_group_request(site_task_state& t, const outgoing_groups& m)
{
    send_answer(t, m.m_exchange, peer_groups{m.m_is_leader, m.m_groups});
}

}
