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
                           const cell_contact& other)
{
    if (!other.m_address.empty())
        return other.m_address;
    const auto ranks = ranks_of(t, zone);
    if (ranks.empty())
        return {};
    return to_string(
        t.m_members.at(ranks[other.m_tries % ranks.size()].m_name).m_address);
}

void apply_digest(site_task_state& t, site_peer& p, const peer_site_digest& d)
{
    ++t.m_digests_received;
    p.m_heard_at = boot_now();
    cell_contact& other = t.m_cell.m_others[d.m_zone];
    other.m_tries = 0;
    if (d.m_ending)
    {
        other.m_address.clear();
        t.m_boxes.m_session.post(peer_ended{d.m_zone});
        return;
    }
    other.m_address = d.m_address;
    other.m_last = d;
    t.m_boxes.m_session.post(weights_heard{d.m_zone, news_of(t, d)});
    catch_up(t, p, d.m_store_answers, d.m_store_revision, d.m_config_version);
}

void record_miss(cell_contact& other)
{
    other.m_address.clear();
    ++other.m_tries;
}

void send_cell_digest(site_task_state& t, const std::string& zone,
                      cell_contact& other)
{
    const auto p = t.m_peers.find(address_to_try(t, zone, other));
    if (p == t.m_peers.end())
        return;
    ++t.m_digests_sent;
    other.m_asking = true;
    other.m_asked_at = boot_now();
    other.m_told = t.m_weights.m_number;
    site_peer& peer = p->second;
    call_peer(*peer.m_client, digest_for(t, other.m_last),
              [&t, &peer, &other](std::optional<peer_message>& answer)
              {
                  other.m_asking = false;
                  if (!answer)
                      return record_miss(other);
                  if (const auto* m = std::get_if<peer_site_digest>(&*answer))
                      return apply_digest(t, peer, *m);
                  record_miss(other);
                  if (const auto* m = std::get_if<peer_referral>(&*answer))
                      other.m_address = m->m_address;
              });
}

constexpr auto to_milliseconds = [](duration d)
{
    constexpr std::int64_t max_ms = 60'000;
    return static_cast<std::uint32_t>(std::min(
        max_ms,
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count()));
};

std::vector<peer_tokens> to_wire(std::span<const workspace_tokens> tokens)
{
    std::vector<peer_tokens> out;
    out.reserve(tokens.size());
    for (const workspace_tokens& w : tokens)
        out.push_back({w.m_workspace, w.m_count, to_milliseconds(w.m_wait)});
    return out;
}

std::vector<workspace_tokens> from_wire(std::span<const peer_tokens> tokens)
{
    std::vector<workspace_tokens> out;
    out.reserve(tokens.size());
    for (const peer_tokens& w : tokens)
        out.push_back(
            {w.m_workspace, w.m_count, std::chrono::milliseconds(w.m_wait_ms)});
    return out;
}

}

peer_message take_cell_digest(site_task_state& t, const peer_site_digest& m)
{
    if (!keeps_cell(t, boot_now()))
        return peer_referral{t.m_cell.m_keeper};
    // Applied first, because the answer acknowledges these weights.
    const auto found = t.m_peers.find(m.m_address);
    if (found != t.m_peers.end())
        apply_digest(t, found->second, m);
    return digest_for(t, m);
}

void send_cell_digests(site_task_state& t, time_point now)
{
    if (!keeps_cell(t, now))
        return;
    for (const std::string& zone : cells_of(t))
    {
        if (zone == t.m_settings.m_zone)
            continue;
        cell_contact& other = t.m_cell.m_others[zone];
        // One side of each pair sends digests; the answers carry the other's.
        const bool other_asks = zone < t.m_settings.m_zone && other.m_last &&
                                other.m_told >= t.m_weights.m_number;
        // A cell whose leader isn't known is queried at the urgent interval.
        const duration interval = other.m_address.empty()
                                      ? duration(urgent_digest_period)
                                      : digest_period_of(t, other.m_told);
        if (!other.m_asking && !other_asks &&
            now - other.m_asked_at >= interval)
            send_cell_digest(t, zone, other);
    }
}

void end_cell_digests(site_task_state& t)
{
    for (auto& [zone, other] : t.m_cell.m_others)
        send_cell_digest(t, zone, other);
}

void ask_for_tokens(site_task_state& t, const tokens_wanted& m)
{
    const auto leader = t.m_peers.find(t.m_cell.m_keeper);
    if (leader == t.m_peers.end())
    {
        t.m_boxes.m_session.post(tokens_given());
        return;
    }
    call_peer(*leader->second.m_client, peer_tokens_wanted{to_wire(m.m_tokens)},
              [&t](std::optional<peer_message>& answer)
              {
                  const auto* given =
                      answer ? std::get_if<peer_tokens_given>(&*answer)
                             : nullptr;
                  if (given != nullptr && given->m_kept)
                      t.m_boxes.m_session.post(
                          tokens_given{true, from_wire(given->m_tokens)});
                  else
                      t.m_boxes.m_session.post(tokens_given());
              });
}

void take_tokens_wanted(site_task_state& t, exchange_id exchange,
                        const peer_tokens_wanted& m)
{
    t.m_boxes.m_session.post(tokens_asked{exchange, from_wire(m.m_tokens)});
}

void answer_tokens(site_task_state& t, const tokens_answered& m)
{
    answer_peer(*t.m_peer_server, m.m_exchange,
                peer_tokens_given{m.m_kept, to_wire(m.m_tokens)});
}

}
