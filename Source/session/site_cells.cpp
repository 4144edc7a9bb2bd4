#include <session/site_task_state.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include <peer/loan_id.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// The delay between the candidacies of one process and the next in rank. It
// covers a round of vote requests within a zone, so that votes aren't split.
constexpr std::chrono::milliseconds candidacy_step{60};

duration candidacy_delay(const site_task_state& t)
{
    const auto ranks = cell_ranks(t, t.m_settings.m_zone);
    const auto self =
        std::ranges::find(ranks, t.m_settings.m_name, &cell_rank::m_name);
    return candidacy_step * (self - ranks.begin());
}

bool outranks_self(const site_task_state& t, std::string_view other)
{
    const auto m = t.m_members.find(other);
    return m != t.m_members.end() &&
           outranks({m->second.m_cores, m->first},
                    {t.m_settings.m_cores, t.m_settings.m_name});
}

void post_leadership(site_task_state& t, time_point until)
{
    t.m_boxes.m_session.post(cell_leadership{t.m_cell.m_incarnation, until});
}

time_point leadership_until(const site_task_state& t)
{
    return majority_expiry(t.m_cell.m_received_votes, cell_members(t));
}

void run_action(site_task_state& t, cell_action action)
{
    const bool leads = action == cell_action::start_leading;
    if (leads)
    {
        t.m_contact_expected_since = boot_now();
        t.m_weights = {};
        // The members learn of their leader by its next requests.
        t.m_cell.m_votes_requested_at = {};
        for (auto& [zone, other] : t.m_cell.m_other_cells)
        {
            other.m_last_digest.reset();
            other.m_announced_version = 0;
        }
    }
    log_event(leads ? event_id::cell_kept : event_id::cell_yielded,
              {{"cell", t.m_settings.m_zone},
               {"members", std::to_string(cell_members(t).size())},
               {"votes", std::to_string(t.m_cell.m_received_votes.size())}});
    post_leadership(t, leads ? leadership_until(t) : time_point());
}

void fire(site_task_state& t, cell_event event)
{
    t.m_charts.m_cell.fire(t.m_cell.m_state, event,
                           [&](cell_action action)
                           {
                               run_action(t, action);
                           });
}

peer_vote_request make_vote_request(const site_task_state& t)
{
    peer_vote_request m;
    m.m_name = t.m_settings.m_name;
    m.m_address = to_string(t.m_settings.m_peer_listen);
    m.m_incarnation = t.m_incarnation;
    m.m_leads_cell = t.m_cell.m_state == cell_state::leader;
    m.m_shutting_down = t.m_ending;
    m.m_store_is_available = is_store_available(t);
    m.m_store_revision = known_revision(t);
    m.m_config_version = t.m_config ? t.m_config->m_version : 0;
    m.m_content_revision = changed_revision(t);
    m.m_endpoints_revision =
        watch_of(t, stored_kind::endpoints).m_changed_revision;
    m.m_evacuations_revision =
        watch_of(t, stored_kind::evacuations).m_changed_revision;
    m.m_members_revision = watch_of(t, stored_kind::members).m_changed_revision;
    m.m_true_ms = true_ms_to_send(t);
    return m;
}

vote_hold hold_for(const site_task_state& t,
                   std::uint64_t confirmed_incarnation)
{
    return confirmed_incarnation == t.m_incarnation ? vote_hold::waived
                                                    : vote_hold::applies;
}

void update_leadership(site_task_state& t, time_point now)
{
    const time_point until = leadership_until(t);
    const bool elected = now < until;
    if (t.m_cell.m_state == cell_state::candidate && elected &&
        may_count_votes(t))
    {
        // Before the state changes: after an exception this process must not
        // lead under the number of an earlier time as leader.
        t.m_cell.m_incarnation = random_loan_id();
        fire(t, cell_event::elected);
    }
    else if (t.m_cell.m_state == cell_state::leader && !elected)
        fire(t, cell_event::votes_lapsed);
    else if (t.m_cell.m_state == cell_state::leader)
        post_leadership(t, until);
}

void request_vote(site_task_state& t, site_peer& p)
{
    if (std::exchange(p.m_request_pending, true))
        return;
    p.m_requested_at = boot_now();
    peer_vote_request request = make_vote_request(t);
    request.m_confirmed_incarnation =
        confirmed_incarnation(t.m_cell.m_restart_check, p.m_name);
    send_to_peer(t, *p.m_client, request,
                 [&t, &p](std::optional<peer_message>& answer)
                 {
                     p.m_request_pending = false;
                     const auto* m =
                         answer ? std::get_if<peer_vote>(&*answer) : nullptr;
                     set_reachable(p, m != nullptr);
                     if (m == nullptr)
                         return;
                     p.m_last_contact_at = boot_now();
                     record_peer_clock(t, m->m_name, m->m_wall_ms);
                     fetch_if_behind(t, p, m->m_store_is_available,
                                     m->m_store_revision, m->m_config_version);
                     const bool collects_votes =
                         t.m_cell.m_state == cell_state::candidate ||
                         t.m_cell.m_state == cell_state::leader;
                     if (!m->m_granted || !collects_votes)
                         return;
                     t.m_cell.m_received_votes[m->m_name] = p.m_requested_at;
                     update_leadership(t, boot_now());
                 });
}

// Calls `use` for each other member of the cell that is a known peer.
template <class Use>
void for_other_members(site_task_state& t, Use use)
{
    for (const std::string& name : cell_members(t))
    {
        const auto p =
            t.m_peers.find(to_string(t.m_members.at(name).m_address));
        if (name != t.m_settings.m_name && p != t.m_peers.end())
            use(p->second);
    }
}

void request_votes(site_task_state& t, time_point now)
{
    if (now - t.m_cell.m_votes_requested_at < vote_request_interval)
        return;
    t.m_cell.m_votes_requested_at = now;
    t.m_cell.m_has_requested_votes = true;
    // This process may have given its own vote to another one.
    if (grant_vote(t.m_cell.m_given_vote, t.m_settings.m_name, t.m_incarnation,
                   t.m_started_at, now,
                   hold_for(t, confirmed_incarnation(t.m_cell.m_restart_check,
                                                     t.m_settings.m_name))))
        t.m_cell.m_received_votes[t.m_settings.m_name] = now;
    for_other_members(t,
                      [&](site_peer& p)
                      {
                          request_vote(t, p);
                      });
    update_leadership(t, now);
}

}

std::vector<cell_rank> cell_ranks(const site_task_state& t,
                                  std::string_view zone)
{
    std::vector<cell_rank> ranks;
    for (const auto& [name, m] : t.m_members)
        if (m.m_zone == zone)
            ranks.push_back({m.m_cores, name});
    std::ranges::sort(ranks, outranks);
    return ranks;
}

std::set<std::string, std::less<>> cell_zones(const site_task_state& t)
{
    std::set<std::string, std::less<>> cells;
    for (const auto& [name, m] : t.m_members)
        cells.insert(m.m_zone);
    return cells;
}

bool has_zone_cells(const site_task_state& t)
{
    return t.m_cell.m_state != cell_state::no_cell;
}

std::uint64_t weights_incarnation(const site_task_state& t)
{
    return has_zone_cells(t) ? t.m_cell.m_incarnation : t.m_incarnation;
}

bool leads_cell(const site_task_state& t, time_point now)
{
    return t.m_cell.m_state == cell_state::leader && now < leadership_until(t);
}

bool is_relayed_by_leader(const site_task_state& t, time_point now)
{
    return t.m_cell.m_state == cell_state::follower &&
           !t.m_cell.m_leader_address.empty() &&
           now - t.m_cell.m_last_relay_at < cell_election_timeout;
}

// A cell leader that reaches the store competes for its whole cell, so that the
// calls for the duty's record don't grow with the number of processes.
void update_failover_candidacy(site_task_state& t, time_point now)
{
    const bool is_candidate = !is_relayed_by_leader(t, now);
    if (std::exchange(t.m_is_failover_candidate, is_candidate) != is_candidate)
        t.m_boxes.m_failover.post(failover_candidacy{is_candidate});
}

std::set<std::string, std::less<>> cell_members(const site_task_state& t)
{
    std::set<std::string, std::less<>> names;
    for (const auto& [name, m] : t.m_members)
        if (m.m_zone == t.m_settings.m_zone)
            names.insert(name);
    return names;
}

fleet_changed make_fleet_changed(const site_task_state& t)
{
    fleet_changed m;
    m.m_process_count = t.m_members.size();
    m.m_has_cell_leaders = has_zone_cells(t);
    m.m_self = m.m_has_cell_leaders ? t.m_settings.m_zone : t.m_settings.m_name;
    if (m.m_has_cell_leaders)
        m.m_cells = cell_zones(t);
    else
        for (const auto& [name, member] : t.m_members)
            m.m_cells.insert(name);
    return m;
}

void update_cell_mode(site_task_state& t)
{
    const bool large = t.m_members.size() >= min_processes_for_cells;
    if (large == has_zone_cells(t))
        return;
    if (large)
    {
        t.m_cell.m_last_vote_request_at = boot_now();
        // Counts of processes of other cells, which their leaders sum.
        t.m_collection.m_members = {};
    }
    else
        t.m_contact_expected_since = boot_now();
    fire(t, large ? cell_event::joined : cell_event::left);
}

void stand_for_election(site_task_state& t, time_point now)
{
    t.m_cell.m_received_votes.clear();
    t.m_cell.m_leader_address.clear();
    fire(t, cell_event::leader_silent);
    request_votes(t, now);
}

void advance_cell(site_task_state& t, time_point now)
{
    if (t.m_ending)
        return;
    switch (t.m_cell.m_state)
    {
    case cell_state::no_cell:
        return;
    case cell_state::follower:
        if (now - t.m_started_at < vote_hold_time)
            return advance_restart_check(t, now);
        if (now - t.m_cell.m_last_vote_request_at >=
            cell_election_timeout + candidacy_delay(t))
            stand_for_election(t, now);
        return;
    case cell_state::candidate:
        request_votes(t, now);
        // It may have read the members since the last vote arrived.
        return update_leadership(t, now);
    case cell_state::leader:
        return request_votes(t, now);
    }
}

peer_vote answer_vote_request(site_task_state& t, const peer_vote_request& m)
{
    const time_point now = boot_now();
    const auto p = t.m_peers.find(m.m_address);
    if (p != t.m_peers.end())
    {
        p->second.m_last_contact_at = now;
        fetch_if_behind(t, p->second, m.m_store_is_available,
                        m.m_store_revision, m.m_config_version);
    }
    const peer_vote_request own = make_vote_request(t);
    peer_vote answer{own.m_name,
                     false,
                     own.m_store_is_available,
                     own.m_store_revision,
                     own.m_config_version,
                     wall_ms_to_send(t)};
    if (m.m_shutting_down)
    {
        release_vote(t.m_cell.m_given_vote, m.m_name);
        // This process only waits for candidates that rank above it.
        if (t.m_cell.m_leader_address == m.m_address)
        {
            t.m_cell.m_leader_address.clear();
            t.m_cell.m_last_vote_request_at = now - cell_election_timeout;
        }
        return answer;
    }
    answer.m_granted =
        grant_vote(t.m_cell.m_given_vote, m.m_name, m.m_incarnation,
                   t.m_started_at, now, hold_for(t, m.m_confirmed_incarnation));
    const bool must_yield = m.m_leads_cell || outranks_self(t, m.m_name);
    if (must_yield)
        t.m_cell.m_last_vote_request_at = now;
    if (must_yield && t.m_cell.m_state == cell_state::candidate)
        fire(t, cell_event::outranked);
    if (m.m_leads_cell && t.m_cell.m_state == cell_state::follower)
    {
        t.m_cell.m_leader_address = m.m_address;
        follow_leader_clock(t, m);
        // Nothing can be fetched from a leader that isn't in the list of
        // members yet; the list has to be read for it.
        if (m.m_store_is_available && p != t.m_peers.end())
        {
            t.m_cell.m_last_relay_at = now;
            record_claim(t.m_cell.m_member_relay, m.m_members_revision,
                         watch_of(t, stored_kind::members).m_revision, now);
            fetch_newer_content(t, p->second, m);
        }
    }
    return answer;
}

void leave_cell(site_task_state& t)
{
    if (t.m_cell.m_state == cell_state::leader)
        send_final_cell_digests(t);
    // The other members may elect another leader once they receive this.
    t.m_cell.m_received_votes.clear();
    post_leadership(t, {});
    for_other_members(t,
                      [&](site_peer& p)
                      {
                          p.m_request_pending = false;
                          request_vote(t, p);
                      });
}

}
