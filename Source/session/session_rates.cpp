#include <session/session_task_state.hpp>

#include <cmath>
#include <utility>

#include <decide/load/turn_wait.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Time constant with which arrivals decay in the demand estimate: long enough
// that the usual variation of a workspace's arrivals does not change its share,
// and well within the shortest window over which limits are checked (5 s).
constexpr std::chrono::milliseconds demand_decay_time{1500};
// Interval at which changed demand weights are announced to peers.
constexpr std::chrono::milliseconds announcement_interval{250};
// Minimum time between two divisions of the limits while demand updates arrive,
// since each division passes over the weights of all peers. Until the next
// division a share that has shrunk stays in use. This can exceed the limit by
// 50 ms worth of the rate, a tenth of the half second's worth that is permitted
// in the described deployments.
constexpr std::chrono::milliseconds division_interval{50};

// Returns the arrival rate plus its square root as a margin for random
// variation.
double demand_weight(workspace_rate& r, time_point now)
{
    decay_arrivals(r, now);
    const double rate = r.m_recent_arrivals / to_seconds(demand_decay_time);
    return rate + std::sqrt(rate);
}

void update_share(session_task_state& t, const std::string& workspace,
                  workspace_rate& r, time_point now)
{
    const double fraction = share_fraction(t.m_demand, t.m_division, workspace);
    // The bucket has to hold a whole token, or no operation is ever admitted.
    set_share(r.m_bucket, r.m_rate * fraction,
              std::max(1.0, r.m_burst * fraction), now);
}

void update_shares(session_task_state& t, time_point now)
{
    t.m_division_stale = false;
    t.m_next_division_at = now + division_interval;
    drop_acked_announcements(t.m_demand, now);
    t.m_division = divide_by_demand(t.m_demand, now);
    for (auto& [name, r] : t.m_rates)
        update_share(t, name, r, now);
}

// Returns the operations that a new process may admit before its bucket fills:
// its even share of the permitted excess over the limit, since the existing
// processes may have used up the limit itself. Part of a cell's share goes to
// the processes that admit operations before they know a cell leader.
double initial_credit(const session_task_state& t, const workspace_rate& r)
{
    if (t.m_has_cell_leaders)
        return leader_credit(excess_of(t, r), t.m_demand.m_members.size());
    const double members =
        std::max<double>(1, static_cast<double>(t.m_demand.m_members.size()));
    const site_settings& s = t.m_settings;
    const double slack = (r.m_rate * to_seconds(s.m_rate_window) + r.m_burst) *
                             s.m_rate_overage +
                         s.m_rate_tolerance;
    return start_credit_ratio * slack / members;
}

// The line in which an operation waits for a token, whatever endpoints can run
// it.
turn_class rate_turn(const work& w)
{
    return {w.m_turn.m_priority, turn_kind::any};
}

std::string describe_rate(const session_task_state& t,
                          std::string_view workspace, const workspace_rate& r)
{
    const auto rounded = [](double value)
    {
        return std::to_string(std::lround(value));
    };
    constexpr double percent = 100;
    return rounded(share_fraction(t.m_demand, t.m_division, workspace) *
                   percent) +
           " % of " + rounded(r.m_rate) + "/s and burst " + rounded(r.m_burst) +
           ", " + rounded(r.m_bucket.m_tokens) + " tokens, " +
           std::to_string(backlog(r.m_waiting)) + " waiting, " +
           std::to_string(t.m_demand.m_members.size()) + " members, " +
           std::to_string(t.m_demand.m_peers.size()) + " peers heard";
}

void admit_waiting(session_task_state& t, workspace_rate& r, time_point now)
{
    while (has_waiting_work(r) && admit_one(r, now))
        admit_next(t, r, now);
    refuse_expired(t, r, now,
                   [&](const work& w)
                   {
                       return describe_rate(t, w.m_session->m_workspace, r);
                   });
}

// Returns whether a token becomes available within the wait limit of `w`, after
// those for the operations that wait already and go first. `bucket` is the one
// of the rate, refilled or not.
bool can_admit_in_time(const workspace_rate& r, const rate_bucket& bucket,
                       const work& w, time_point now)
{
    const turn_request request{rate_turn(w), w.m_session->m_workspace,
                               equal_weight, w.m_due};
    const auto ahead = static_cast<double>(items_ahead(r.m_waiting, request));
    return ahead + 1 <= bucket.m_tokens +
                            bucket.m_rate * to_seconds(w.m_send_deadline - now);
}

void announce_demand(session_task_state& t, time_point now)
{
    t.m_next_announcement_at = now + announcement_interval;
    demand_weights weights;
    bool lacks_tokens = false;
    for (auto& [name, r] : t.m_rates)
    {
        weights[name] = demand_weight(r, now);
        lacks_tokens = lacks_tokens || r.m_bucket.m_tokens < 1;
    }
    if (announce_weights(t.m_demand, weights))
        t.m_mailboxes.m_site.post(
            local_demand_changed{t.m_demand.m_announcements.back(),
                                 lacks_tokens, t.m_leader_incarnation});
}

}

void decay_arrivals(workspace_rate& r, time_point now)
{
    r.m_recent_arrivals *= std::exp(-to_seconds(now - r.m_last_arrival_at) /
                                    to_seconds(demand_decay_time));
    r.m_last_arrival_at = now;
}

bool admit_one(workspace_rate& r, time_point now)
{
    if (take_token(r.m_bucket, now) ||
        take_transferred_token(r.m_transfers, now))
        return true;
    if (r.m_initial_credit < 1)
        return false;
    r.m_initial_credit -= 1;
    return true;
}

rate_excess excess_of(const session_task_state& t, const workspace_rate& r)
{
    const site_settings& s = t.m_settings;
    return {r.m_rate, s.m_rate_window, s.m_rate_overage, s.m_rate_tolerance};
}

bool controls_rates(const session_task_state& t, time_point now)
{
    // Whether the fleet has cell leaders isn't known before its members are.
    const bool knows_fleet = !t.m_demand.m_members.empty();
    return knows_fleet && (!t.m_has_cell_leaders || now < t.m_leader_until);
}

bool has_waiting_work(const workspace_rate& r)
{
    return backlog(r.m_waiting) > 0;
}

void await_token(workspace_rate& r, work& w, time_point now)
{
    w.m_waits_for_rate = true;
    enqueue(r.m_waiting, rate_turn(w), w.m_session->m_workspace, equal_weight,
            w, now);
}

void admit_next(session_task_state& t, workspace_rate& r, time_point now)
{
    fair_queue_hook* const next = next_turn(r.m_waiting,
                                            [](fair_queue_hook&)
                                            {
                                                return true;
                                            });
    if (next == nullptr)
        return;
    const work_ptr w(static_cast<work*>(next));
    take_turn(r.m_waiting, rate_turn(*w), *next, true, now);
    w->m_waits_for_rate = false;
    dispatch(t, w);
}

void refuse_expired(session_task_state& t, workspace_rate& r, time_point until,
                    const std::function<std::string(const work&)>& evidence)
{
    std::vector<work_ptr> expired;
    for_each_item(r.m_waiting,
                  [&](fair_queue_hook& item)
                  {
                      work& w = static_cast<work&>(item);
                      if (w.m_send_deadline <= until)
                          expired.emplace_back(&w);
                  });
    for (const work_ptr& w : expired)
        if (w->m_session && w->m_waits_for_rate)
            refuse_waiting(t, w, evidence(*w));
}

void refuse_waiting(session_task_state& t, const work_ptr& w,
                    std::string evidence)
{
    w->m_waits_for_rate = false;
    w->m_evidence = std::move(evidence);
    count_refusal(t, *w, refusal_cause::rate);
    fail_work(t, w, session_fault::busy, "rate");
}

void update_rates(session_task_state& t)
{
    const time_point now = boot_now();
    std::erase_if(t.m_rates,
                  [&](const auto& entry)
                  {
                      return !t.m_config->m_workspaces.contains(entry.first) &&
                             !has_waiting_work(entry.second);
                  });
    // No process has used tokens of a workspace that is new to all processes,
    // so its bucket starts full. A workspace in the first configuration that
    // this process gets may be older than the process.
    const bool new_to_all = std::exchange(t.m_has_previous_config, true) ||
                            t.m_settings.m_first_start;
    for (const auto& [name, workspace] : t.m_config->m_workspaces)
    {
        const auto [entry, added] = t.m_rates.try_emplace(name);
        workspace_rate& r = entry->second;
        r.m_rate = workspace.m_rate;
        r.m_burst = workspace.m_burst;
        if (added)
        {
            r.m_last_arrival_at = now;
            r.m_bucket.m_refilled_at = now;
        }
        update_share(t, name, r, now);
        if (added && new_to_all)
            r.m_bucket.m_tokens = r.m_bucket.m_burst;
        else if (added && !t.m_demand.m_members.empty())
            r.m_initial_credit = initial_credit(t, r);
    }
}

void reset_division(session_task_state& t, std::string_view self,
                    time_point now)
{
    const auto cells = std::move(t.m_demand.m_members);
    t.m_demand = {};
    t.m_demand.m_self = self;
    t.m_demand.m_started_at = now;
    t.m_demand.m_members = cells;
    t.m_next_announcement_at = now;
    for (auto& [name, r] : t.m_rates)
    {
        r.m_bucket = {};
        r.m_bucket.m_refilled_at = now;
        r.m_initial_credit = initial_credit(t, r);
        r.m_transfers = {};
    }
    update_shares(t, now);
}

void apply_fleet(session_task_state& t, const fleet_changed& m)
{
    const time_point now = boot_now();
    t.m_process_count = m.m_process_count;
    if (m.m_has_cell_leaders != t.m_has_cell_leaders)
    {
        // Division among processes and division among cells keep separate
        // accounts of the tokens they gave out. After a switch between them
        // this process starts with empty buckets and the initial credit.
        t.m_has_cell_leaders = m.m_has_cell_leaders;
        t.m_leader_until = {};
        reset_division(t, m.m_self, now);
    }
    if (!m.m_has_cell_leaders && !m.m_cells.empty())
        end_cold_start(t, "fleet without cell leaders");
    const bool first = t.m_demand.m_members.empty();
    t.m_demand.m_members = m.m_cells;
    if (first && !t.m_settings.m_first_start)
        for (auto& [name, r] : t.m_rates)
            r.m_initial_credit = initial_credit(t, r);
    update_shares(t, now);
    update_groups(t);
}

rate_verdict judge_rate(const session_task_state& t, std::string_view workspace,
                        const work& w, time_point now)
{
    const auto found = t.m_rates.find(workspace);
    if (found == t.m_rates.end())
        return rate_verdict::unknown_workspace;
    const workspace_rate& r = found->second;
    if (!controls_rates(t, now))
        return rate_verdict::asks_leader;
    rate_bucket bucket = r.m_bucket;
    if (!has_waiting_work(r) &&
        (take_token(bucket, now) || r.m_initial_credit >= 1 ||
         has_transferred_token(r.m_transfers, now)))
        return rate_verdict::admitted;
    const bool may_get_token =
        can_admit_in_time(r, bucket, w, now) ||
        (uses_transfers(t, r) &&
         may_get_transfer(r.m_transfers, w.m_send_deadline, now));
    return may_get_token ? rate_verdict::waits : rate_verdict::refused;
}

rate_decision admit_operation(session_task_state& t, std::string_view workspace,
                              const work_ptr& w)
{
    const time_point now = boot_now();
    const rate_verdict verdict = judge_rate(t, workspace, *w, now);
    if (verdict == rate_verdict::unknown_workspace)
        return rate_decision::refused;
    workspace_rate& r = t.m_rates.find(workspace)->second;
    if (verdict == rate_verdict::asks_leader)
    {
        if (!has_waiting_work(r) && admit_from_own_credit(t, workspace, r, now))
            return rate_decision::admitted;
        await_leader_tokens(t, r, w);
        return rate_decision::waits;
    }
    decay_arrivals(r, now);
    r.m_recent_arrivals += 1;
    if (verdict == rate_verdict::admitted)
    {
        admit_one(r, now);
        return rate_decision::admitted;
    }
    if (verdict == rate_verdict::refused)
    {
        w->m_evidence = describe_rate(t, workspace, r);
        return rate_decision::refused;
    }
    if (is_logged(event_id::statement_waits))
        log_waiting(*w, "rate", describe_rate(t, workspace, r));
    await_token(r, *w, now);
    return rate_decision::waits;
}

void apply_peer_demand(session_task_state& t, const peer_demand_changed& m)
{
    apply_demand_update(t.m_demand, m.m_peer, m.m_update, boot_now());
    t.m_division_stale = true;
}

void tick_rates(session_task_state& t, time_point now)
{
    if (!controls_rates(t, now))
        return tick_tokens(t, now);
    for (auto& [name, r] : t.m_rates)
        admit_waiting(t, r, now);
    request_transfers(t, now);
    const bool announcement_due = now >= t.m_next_announcement_at;
    if (announcement_due)
        announce_demand(t, now);
    if (announcement_due || (t.m_division_stale && now >= t.m_next_division_at))
        update_shares(t, now);
}

}
