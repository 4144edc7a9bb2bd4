#include <daemon/pool_state.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <endpoint/endpoint_sql.hpp>
#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds lease_patience{600};

void fire(pool_group& g, group_event event);

voter voter_of(const pool_endpoint& e)
{
    const resolved_settings& settings = *e.m_group.m_pool.m_settings;
    voter v;
    v.m_state = e.m_view.m_state;
    v.m_last_contact_at = e.m_heard_at;
    v.m_primary_contact_at = e.m_fed_at;
    v.m_known_since = e.m_known_since;
    v.m_eligible = !e.m_setting.m_leaving &&
                   !settings.m_zones_out.contains(e.m_setting.m_zone);
    return v;
}

std::vector<voter> voters_of(const pool_group& g)
{
    std::vector<voter> voters;
    voters.reserve(g.m_endpoints.size());
    for (const auto& e : g.m_endpoints)
        voters.push_back(voter_of(*e));
    return voters;
}

bool may_begin(const pool_state& p)
{
    return may_promote(p.m_leaving, p.m_daemon.m_name, p.m_members);
}

bool still_in(const pool_group& g, term_number term, group_state state)
{
    return g.m_watch.m_state == state && g.m_watch.m_election.m_term == term;
}

void await_turn(pool_group& g)
{
    g.m_watch.m_turn_at = monotonic_clock::now() + own_delay(g);
}

void claim_lease(pool_group& g)
{
    pool_state& p = g.m_pool;
    g.m_watch.m_lease_until.reset();
    p.m_boxes.m_control.post(
        lease_wanted{g.m_name, p.m_candidate, ++g.m_watch.m_ticket});
}

void release_lease(pool_group& g)
{
    g.m_pool.m_boxes.m_control.post(lease_released{g.m_name});
}

void take_vote(pool_endpoint& e, std::size_t index, term_number term,
               time_point asked_at, const pg_reply& reply)
{
    pool_group& g = e.m_group;
    if (!still_in(g, term, group_state::fencing) || reply.m_error ||
        reply.m_tables.empty())
        return;
    ballot b;
    try
    {
        b.m_state = parse_state(reply.m_tables.front(), asked_at);
        b.m_granted = parse_granted(reply.m_tables.front());
    }
    catch (const endpoint_protocol_error&)
    {
        return;
    }
    g.m_watch.m_election.m_ballots[index] = b;
    learn_state(e, b.m_state);
    watch_primary(g);
}

void send_fences(pool_group& g)
{
    primary_watch& w = g.m_watch;
    const time_point now = monotonic_clock::now();
    w.m_election =
        begin_election(voters_of(g), w.m_last_term, g.m_pool.m_candidate, now);
    const term_number term = w.m_election.m_term;
    w.m_last_term = term;
    log_event(event_id::election_begun,
              {{"group", g.m_name}, {"term", std::to_string(term)}});
    for (std::size_t i = 0; i < g.m_endpoints.size(); ++i)
    {
        pool_endpoint& e = *g.m_endpoints[i];
        send_order(e, fence_query(term, w.m_election.m_candidate),
                   [&e, i, term, now](pg_reply& reply)
                   {
                       take_vote(e, i, term, now, reply);
                   });
    }
}

void take_promotion(pool_endpoint& e, time_point asked_at,
                    const pg_reply& reply)
{
    if (reply.m_error || reply.m_tables.empty())
        return;
    try
    {
        learn_state(e, parse_state(reply.m_tables.front(), asked_at));
    }
    catch (const endpoint_protocol_error&)
    {
        return;
    }
    watch_primary(e.m_group);
}

void send_promote(pool_group& g)
{
    primary_watch& w = g.m_watch;
    pool_endpoint& e = *g.m_endpoints[w.m_winner];
    w.m_promoted_term = w.m_election.m_term;
    log_event(event_id::promotion_ordered,
              {{"group", g.m_name},
               {"endpoint", e.m_setting.m_name},
               {"term", std::to_string(w.m_promoted_term)}});
    const time_point now = monotonic_clock::now();
    send_order(e, promote_query(w.m_promoted_term),
               [&e, now](pg_reply& reply)
               {
                   take_promotion(e, now, reply);
               });
}

void act(pool_group& g, group_action action)
{
    switch (action)
    {
    case group_action::await_turn:
        await_turn(g);
        break;
    case group_action::claim_lease:
        claim_lease(g);
        break;
    case group_action::ask_again:
        g.m_watch.m_asked_at = monotonic_clock::now();
        hasten_polls(g);
        break;
    case group_action::send_fences:
        send_fences(g);
        break;
    case group_action::send_promote:
        send_promote(g);
        break;
    case group_action::release_lease:
        release_lease(g);
        break;
    }
}

void report(const pool_group& g, group_event event)
{
    if (event == group_event::primary_missed)
        log_event(event_id::primary_missed, {{"group", g.m_name}});
    if (event == group_event::primary_found)
        log_event(event_id::primary_found, {{"group", g.m_name}});
    if (event == group_event::superseded)
        log_event(event_id::election_lost,
                  {{"group", g.m_name},
                   {"term", std::to_string(g.m_watch.m_election.m_term)}});
}

void fire(pool_group& g, group_event event)
{
    const group_state before = g.m_watch.m_state;
    const bool taken = g.m_pool.m_charts.m_group.fire(g.m_watch.m_state, event,
                                                      [&g](group_action action)
                                                      {
                                                          act(g, action);
                                                      });
    if (!taken)
        return;
    if (g.m_watch.m_state != before)
        g.m_watch.m_entered_at = monotonic_clock::now();
    report(g, event);
    report_if_drained(g.m_pool);
}

void judge_votes(pool_group& g, std::span<const voter> voters, time_point now)
{
    primary_watch& w = g.m_watch;
    const election_result result = evaluate_election(w.m_election, voters, now);
    // A holder that was paused past its lease leaves the field to the next.
    const bool lapsed = w.m_lease_until && now >= *w.m_lease_until;
    if (result.m_outcome == election_outcome::lost || lapsed)
    {
        fire(g, group_event::superseded);
        return;
    }
    if (result.m_outcome != election_outcome::won)
        return;
    w.m_winner = result.m_winner;
    fire(g, group_event::elected);
}

void go_on(pool_group& g, std::span<const voter> voters, leadership judged,
           time_point now)
{
    const primary_watch& w = g.m_watch;
    const bool begun = w.m_state == group_state::fencing ||
                       w.m_state == group_state::promoting;
    if (judged == leadership::unknown && !begun)
        return;
    const duration in_state = now - w.m_entered_at;
    switch (w.m_state)
    {
    case group_state::led:
        break;
    case group_state::yielded:
        if (may_begin(g.m_pool))
            fire(g, group_event::no_other_daemon);
        break;
    case group_state::suspected:
        if (!may_begin(g.m_pool))
            fire(g, group_event::shutting_down);
        else if (now >= w.m_turn_at)
            fire(g, group_event::turn_reached);
        break;
    case group_state::claiming:
        // Without the platform the order of turns and the votes carry it.
        if (in_state >= lease_patience)
            fire(g, group_event::lease_granted);
        break;
    case group_state::asking:
        if (is_fresh_since(voters, w.m_asked_at, now))
            fire(g, group_event::still_no_primary);
        else if (in_state >= election_timeout)
            fire(g, group_event::superseded);
        break;
    case group_state::fencing:
        judge_votes(g, voters, now);
        break;
    case group_state::promoting:
        if (in_state >= election_timeout)
            fire(g, group_event::superseded);
        break;
    }
}

// The votes of a majority without it are enough; its own log may be the
// longest, by entries that nobody else holds.
void pass_over_starved(const primary_watch& w, std::span<voter> voters)
{
    if (w.m_starved)
        voters[*w.m_starved].m_eligible = false;
}

// Half of the endpoints may have answered since, and the new primary not: the
// highest fence then seems to lead nobody, and a claim from before the pause
// would depose it. So the turn is waited for anew.
void forget_after_pause(pool_group& g, time_point now)
{
    const time_point before = std::exchange(g.m_watch.m_watched_at, now);
    if (now > before && now - before > max_maintenance_gap)
        fire(g, group_event::election_reset);
}

bool note_starved(pool_group& g, std::span<const voter> voters, time_point now)
{
    primary_watch& w = g.m_watch;
    update_replication_health(w.m_feeding, voters, now);
    if (!is_replication_stalled(w.m_feeding, voters, now))
        return false;
    const std::size_t leader = *find_leader(voters);
    if (std::exchange(w.m_starved, leader) != leader)
        log_event(event_id::primary_starved,
                  {{"group", g.m_name},
                   {"endpoint", g.m_endpoints[leader]->m_setting.m_name}});
    return true;
}

}

duration own_delay(const pool_group& g)
{
    const pool_state& p = g.m_pool;
    return turn_delay(
        rendezvous_rank(g.m_name, p.m_daemon.m_name, p.m_members));
}

polling_intervals pace_of(const pool_group& g)
{
    return choose_polling_intervals(monotonic_clock::now() - g.m_used_at,
                                    g.m_watch.m_state == group_state::led);
}

void note_use(pool_group& g)
{
    const time_point now = monotonic_clock::now();
    const bool was_idle =
        now - std::exchange(g.m_used_at, now) >= idle_threshold;
    if (was_idle)
        hasten_polls(g);
}

void watch_primary(pool_group& g)
{
    if (g.m_endpoints.empty())
        return;
    g.m_watch.m_tick.start_once(pace_of(g).m_primary_check);
    const time_point now = monotonic_clock::now();
    forget_after_pause(g, now);
    std::vector<voter> voters = voters_of(g);
    const leadership judged = evaluate_leadership(voters, now);
    const bool starved = note_starved(g, voters, now);
    if (judged == leadership::led && !starved)
    {
        g.m_watch.m_starved.reset();
        fire(g, group_event::primary_found);
        gather_strays(g, voters, now);
        return;
    }
    if (judged != leadership::unknown)
        fire(g, group_event::primary_missed);
    pass_over_starved(g.m_watch, voters);
    go_on(g, voters, judged, now);
}

void take_lease_answer(pool_state& p, const lease_answer& m)
{
    const auto found = p.m_groups.find(m.m_group);
    if (found == p.m_groups.end())
        return;
    pool_group& g = *found->second;
    const bool current = g.m_watch.m_state == group_state::claiming &&
                         g.m_watch.m_ticket == m.m_ticket;
    if (!current)
        return;
    const time_point now = monotonic_clock::now();
    forget_after_pause(g, now);
    const bool granted = m.m_verdict == lease_verdict::granted;
    if (granted)
        g.m_watch.m_lease_until = m.m_until;
    const bool lapsed = granted && now >= m.m_until;
    const bool denied = m.m_verdict == lease_verdict::denied || lapsed;
    fire(g, denied ? group_event::lease_denied : group_event::lease_granted);
}

void yield_groups(pool_state& p)
{
    p.m_leaving = true;
    if (may_begin(p))
        return;
    for (const auto& [name, group] : p.m_groups)
        fire(*group, group_event::shutting_down);
}

bool is_promoting(const pool_state& p)
{
    return std::any_of(p.m_groups.begin(), p.m_groups.end(),
                       [](const auto& entry)
                       {
                           const group_state s = entry.second->m_watch.m_state;
                           return s == group_state::fencing ||
                                  s == group_state::promoting;
                       });
}

void reshape(pool_group& g)
{
    g.m_watch.m_starved.reset();
    fire(g, group_event::election_reset);
    watch_primary(g);
}

}
