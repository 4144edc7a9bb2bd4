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

void apply_digest(site_task_state& t, site_peer& p, const peer_site_digest& d)
{
    ++t.m_digests_received;
    p.m_last_contact_at = boot_now();
    remote_cell& other = t.m_cell.m_other_cells[d.m_zone];
    other.m_failed_lookups = 0;
    if (d.m_shutting_down)
    {
        other.m_leader_address.clear();
        t.m_boxes.m_session.post(peer_ended{d.m_zone});
        return;
    }
    other.m_leader_address = d.m_address;
    peer_site_digest received = d;
    // Before the digest that acknowledges it, also after an exception.
    t.m_boxes.m_session.post(
        peer_demand_changed{d.m_zone, make_demand_update(t, d)});
    other.m_last_digest = std::move(received);
    fetch_if_behind(t, p, d.m_store_is_available, d.m_store_revision,
                    d.m_config_version);
}

void record_miss(remote_cell& other)
{
    other.m_leader_address.clear();
    ++other.m_failed_lookups;
}

void send_cell_digest(site_task_state& t, const std::string& zone,
                      remote_cell& other)
{
    const auto p = t.m_peers.find(address_to_try(t, zone, other));
    if (p == t.m_peers.end())
        return;
    ++t.m_digests_sent;
    other.m_request_pending = true;
    other.m_requested_at = boot_now();
    other.m_announced_version = t.m_weights.m_version;
    site_peer& peer = p->second;
    send_to_peer(t, *peer.m_client, make_digest(t, other.m_last_digest),
                 [&t, &peer, &other](std::optional<peer_message>& answer)
                 {
                     other.m_request_pending = false;
                     if (!answer)
                         return record_miss(other);
                     const auto* digest =
                         std::get_if<peer_site_digest>(&*answer);
                     if (digest != nullptr && digest->m_leads_cell)
                         return apply_digest(t, peer, *digest);
                     record_miss(other);
                     if (const auto* m = std::get_if<peer_referral>(&*answer))
                         other.m_leader_address = m->m_leader_address;
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

// Names the answers of the process `source` of which this one has the content.
peer_group_request make_group_request(const group_request& m,
                                      std::uint64_t source)
{
    peer_group_request out;
    out.m_from_other_cell = m.m_source == group_source::other_leaders;
    bool has_base = false;
    for (const relay_query& q : m.m_queries)
    {
        const relay_base* const base = find_base(q.m_bases, source);
        if (base != nullptr && q.m_wants_lease)
            out.m_leases.push_back(
                static_cast<std::uint32_t>(out.m_services.size()));
        out.m_services.push_back(q.m_service);
        out.m_versions.push_back(base != nullptr ? base->m_version : 0);
        has_base = has_base || base != nullptr;
    }
    if (has_base)
        out.m_source = source;
    return out;
}

}

peer_message answer_cell_digest(site_task_state& t, const peer_site_digest& m)
{
    if (!m.m_leads_cell)
        return make_store_digest(t);
    if (!leads_cell(t, boot_now()))
        return peer_referral{t.m_cell.m_leader_address};
    // Applied first, because the answer acknowledges these weights.
    const auto found = t.m_peers.find(m.m_address);
    if (found != t.m_peers.end())
        apply_digest(t, found->second, m);
    return make_digest(t, m);
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
        // One side of each pair sends digests; the answers carry the other's.
        const bool other_asks =
            zone < t.m_settings.m_zone && other.m_last_digest &&
            other.m_announced_version >= t.m_weights.m_version;
        // A cell whose leader isn't known is queried at the urgent interval.
        const duration interval =
            other.m_leader_address.empty()
                ? duration(urgent_digest_interval)
                : digest_interval_for(t, other.m_announced_version);
        if (!other.m_request_pending && !other_asks &&
            now - other.m_requested_at >= interval)
            send_cell_digest(t, zone, other);
    }
}

void send_final_cell_digests(site_task_state& t)
{
    for (auto& [zone, other] : t.m_cell.m_other_cells)
        send_cell_digest(t, zone, other);
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

void request_transfer(site_task_state& t, const token_transfer_request& m)
{
    token_transfer response{m.m_zone, m.m_tokens, {}};
    const auto other = t.m_cell.m_other_cells.find(m.m_zone);
    const auto leader = other != t.m_cell.m_other_cells.end()
                            ? t.m_peers.find(other->second.m_leader_address)
                            : t.m_peers.end();
    if (leader == t.m_peers.end())
    {
        t.m_boxes.m_session.post(std::move(response));
        return;
    }
    send_to_peer(t, *leader->second.m_client,
                 peer_token_request{to_wire(m.m_tokens), true},
                 [&t, response](std::optional<peer_message>& answer) mutable
                 {
                     const auto* grant =
                         answer ? std::get_if<peer_token_grant>(&*answer)
                                : nullptr;
                     if (grant != nullptr && grant->m_from_leader)
                         response.m_granted = from_wire(grant->m_tokens);
                     t.m_boxes.m_session.post(std::move(response));
                 });
}

void forward_token_request(site_task_state& t, exchange_id exchange,
                           const peer_token_request& m)
{
    t.m_boxes.m_session.post(incoming_token_request{
        exchange, from_wire(m.m_tokens), m.m_from_other_cell});
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
        t.m_boxes.m_session.post(group_response{requested_at, {}, {}, {}});
        return;
    }
    site_peer& peer = leader->second;
    send_to_peer(t, *peer.m_client, make_group_request(m, peer.m_group_source),
                 [&t, &peer, requested_at,
                  queries = m.m_queries](std::optional<peer_message>& answer)
                 {
                     group_response response{requested_at, {}, {}, {}};
                     auto* groups =
                         answer ? std::get_if<peer_groups>(&*answer) : nullptr;
                     if (groups != nullptr && groups->m_from_leader)
                     {
                         peer.m_group_source = groups->m_source;
                         response.m_queries = queries;
                         response.m_groups = std::move(groups->m_groups);
                         response.m_changes = std::move(groups->m_changes);
                         response.m_source = groups->m_source;
                         response.m_version = groups->m_version;
                     }
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
    incoming_group_request out{
        exchange, m.m_services, m.m_from_other_cell, {}, {}};
    if (m.m_source == t.m_incarnation)
    {
        out.m_versions = m.m_versions;
        out.m_leases = m.m_leases;
    }
    t.m_boxes.m_session.post(std::move(out));
}

void answer_group_request(site_task_state& t, const outgoing_groups& m)
{
    send_answer(t, m.m_exchange,
                peer_groups{m.m_is_leader, m.m_groups, t.m_incarnation,
                            m.m_version, m.m_changes});
}

}
