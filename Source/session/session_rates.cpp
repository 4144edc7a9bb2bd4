#include <session/session_task_state.hpp>

#include <cmath>
#include <utility>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// How long an arrival counts in the estimate of demand: long enough that a
// workspace's usual scatter doesn't move its part, well within the shortest
// window over which limits are judged (5 s).
constexpr std::chrono::milliseconds demand_memory{1500};
// From one look at the weights to the next.
constexpr std::chrono::milliseconds tell_period{250};
// From one division of the limits to the next while news come. Each takes a
// pass over all peers' weights. Until then a part that has shrunk is used on: a
// tenth of the half second's rate by which the deployments described may pass a
// limit.
constexpr std::chrono::milliseconds divide_period{50};
// The part of what a limit may be passed by that new processes begin with. The
// rest is for parts that change hands, and for late arrivals.
constexpr double credit_part = 0.75;

// The demand, and what its scatter asks for beyond.
double weight_of(workspace_rate& r, time_point now)
{
    fade(r, now);
    const double rate = r.m_recent / to_seconds(demand_memory);
    return rate + std::sqrt(rate);
}

void fit_part(session_task_state& t, const std::string& workspace,
              workspace_rate& r, time_point now)
{
    const double part = part_of(t.m_demand, t.m_division, workspace);
    // A whole token has to fit, or nothing would ever pass.
    set_share(r.m_bucket, r.m_rate * part, std::max(1.0, r.m_burst * part),
              now);
}

void fit_parts(session_task_state& t, time_point now)
{
    t.m_division_stale = false;
    t.m_divide_at = now + divide_period;
    settle_tellings(t.m_demand, now);
    t.m_division = divide(t.m_demand, now);
    for (auto& [name, r] : t.m_rates)
        fit_part(t, name, r, now);
}

// What one new process may use before it has earned anything: its even part of
// what the limit may be passed by, since the processes before may have used
// the limit itself.
double start_credit(const session_task_state& t, const workspace_rate& r)
{
    const double members =
        std::max<double>(1, static_cast<double>(t.m_demand.m_members.size()));
    const site_settings& s = t.m_settings;
    const double slack = (r.m_rate * to_seconds(s.m_rate_window) + r.m_burst) *
                             s.m_rate_overage +
                         s.m_rate_tolerance;
    return credit_part * slack / members;
}

std::string describe_rate(const session_task_state& t,
                          std::string_view workspace, const workspace_rate& r)
{
    const auto whole = [](double value)
    {
        return std::to_string(std::lround(value));
    };
    constexpr double percent = 100;
    return whole(part_of(t.m_demand, t.m_division, workspace) * percent) +
           " % of " + whole(r.m_rate) + "/s and burst " + whole(r.m_burst) +
           ", " + whole(r.m_bucket.m_tokens) + " tokens, " +
           std::to_string(r.m_waiting.size()) + " waiting, " +
           std::to_string(t.m_demand.m_members.size()) + " members, " +
           std::to_string(t.m_demand.m_peers.size()) + " peers heard";
}

void admit_waiting(session_task_state& t, workspace_rate& r, time_point now)
{
    while (anything_waits(r))
    {
        const work_ptr w = r.m_waiting.front();
        const bool admitted = admit_one(r, now);
        if (!admitted && now < w->m_wait_until)
            return;
        if (!admitted)
        {
            refuse_waiting(t, r, w,
                           describe_rate(t, w->m_session->m_workspace, r));
            continue;
        }
        r.m_waiting.pop_front();
        w->m_waits_for_rate = false;
        dispatch(t, w);
    }
}

// Whether a token will be there in time for one more that waits.
bool may_wait(const workspace_rate& r, const work& w, time_point now)
{
    const double ahead = static_cast<double>(r.m_waiting.size()) + 1;
    return ahead <= r.m_bucket.m_tokens +
                        r.m_bucket.m_rate * to_seconds(w.m_wait_until - now);
}

void tell(session_task_state& t, time_point now)
{
    t.m_tell_at = now + tell_period;
    demand_weights weights;
    bool short_of = false;
    for (auto& [name, r] : t.m_rates)
    {
        weights[name] = weight_of(r, now);
        short_of = short_of || r.m_bucket.m_tokens < 1;
    }
    if (tell_weights(t.m_demand, weights))
        t.m_boxes.m_site.post(weights_told{t.m_demand.m_tellings.back(),
                                           short_of, t.m_kept_incarnation});
}

}

void fade(workspace_rate& r, time_point now)
{
    r.m_recent *=
        std::exp(-to_seconds(now - r.m_recent_at) / to_seconds(demand_memory));
    r.m_recent_at = now;
}

bool admit_one(workspace_rate& r, time_point now)
{
    if (take_token(r.m_bucket, now))
        return true;
    if (r.m_credit < 1)
        return false;
    r.m_credit -= 1;
    return true;
}

bool keeps_rates(const session_task_state& t, time_point now)
{
    return !t.m_has_keepers || now < t.m_kept_until;
}

bool anything_waits(workspace_rate& r)
{
    // Those whose callers have left, or that were failed meanwhile.
    while (!r.m_waiting.empty() && (!r.m_waiting.front()->m_session ||
                                    !r.m_waiting.front()->m_waits_for_rate))
        r.m_waiting.pop_front();
    return !r.m_waiting.empty();
}

void refuse_waiting(session_task_state& t, workspace_rate& r, const work_ptr& w,
                    std::string evidence)
{
    std::erase(r.m_waiting, w);
    w->m_waits_for_rate = false;
    w->m_evidence = std::move(evidence);
    fail_work(t, w, session_fault::busy, "rate");
}

void update_rates(session_task_state& t)
{
    const time_point now = boot_now();
    std::erase_if(t.m_rates,
                  [&](const auto& entry)
                  {
                      return !t.m_config->m_workspaces.contains(entry.first) &&
                             entry.second.m_waiting.empty();
                  });
    // Nobody has spent anything of a workspace that is new to everybody. One
    // that the first configuration brings may be older than this process.
    const bool new_to_all =
        std::exchange(t.m_knows_workspaces, true) || t.m_settings.m_first_start;
    for (const auto& [name, workspace] : t.m_config->m_workspaces)
    {
        const auto [entry, added] = t.m_rates.try_emplace(name);
        workspace_rate& r = entry->second;
        r.m_rate = workspace.m_rate;
        r.m_burst = workspace.m_burst;
        if (added)
        {
            r.m_recent_at = now;
            r.m_bucket.m_filled_at = now;
        }
        fit_part(t, name, r, now);
        if (added && new_to_all)
            r.m_bucket.m_tokens = r.m_bucket.m_burst;
        else if (added && !t.m_demand.m_members.empty())
            r.m_credit = start_credit(t, r);
    }
}

void begin_division(session_task_state& t, std::string_view self,
                    time_point now)
{
    const auto cells = std::move(t.m_demand.m_members);
    t.m_demand = {};
    t.m_demand.m_self = self;
    t.m_demand.m_started_at = now;
    t.m_demand.m_members = cells;
    t.m_tell_at = now;
    for (auto& [name, r] : t.m_rates)
    {
        r.m_bucket = {};
        r.m_bucket.m_filled_at = now;
        r.m_credit = start_credit(t, r);
    }
    fit_parts(t, now);
}

void take_fleet(session_task_state& t, const fleet_changed& m)
{
    const time_point now = boot_now();
    t.m_processes = m.m_processes;
    if (m.m_kept != t.m_has_keepers)
    {
        // What either way of dividing has given away doesn't count in the
        // other: this process begins with nothing.
        t.m_has_keepers = m.m_kept;
        t.m_kept_until = {};
        begin_division(t, m.m_self, now);
    }
    const bool first = t.m_demand.m_members.empty();
    t.m_demand.m_members = m.m_cells;
    if (first && !t.m_settings.m_first_start)
        for (auto& [name, r] : t.m_rates)
            r.m_credit = start_credit(t, r);
    fit_parts(t, now);
    update_groups(t);
}

rate_verdict admit_operation(session_task_state& t, std::string_view workspace,
                             const work_ptr& w)
{
    const time_point now = boot_now();
    const auto found = t.m_rates.find(workspace);
    if (found == t.m_rates.end())
        return rate_verdict::refused;
    workspace_rate& r = found->second;
    if (!keeps_rates(t, now))
    {
        ask_keeper(t, r, w);
        return rate_verdict::waits;
    }
    fade(r, now);
    r.m_recent += 1;
    if (r.m_waiting.empty() && admit_one(r, now))
        return rate_verdict::admitted;
    if (!may_wait(r, *w, now))
    {
        w->m_evidence = describe_rate(t, workspace, r);
        return rate_verdict::refused;
    }
    if (is_logged(event_id::statement_waits))
        log_waiting(*w, "rate", describe_rate(t, workspace, r));
    w->m_waits_for_rate = true;
    r.m_waiting.push_back(w);
    return rate_verdict::waits;
}

void take_weights(session_task_state& t, const weights_heard& m)
{
    take_news(t.m_demand, m.m_peer, m.m_news, boot_now());
    t.m_division_stale = true;
}

void tick_rates(session_task_state& t, time_point now)
{
    if (!keeps_rates(t, now))
        return tick_tokens(t, now);
    for (auto& [name, r] : t.m_rates)
        admit_waiting(t, r, now);
    const bool to_tell = now >= t.m_tell_at;
    if (to_tell)
        tell(t, now);
    if (to_tell || (t.m_division_stale && now >= t.m_divide_at))
        fit_parts(t, now);
}

}
