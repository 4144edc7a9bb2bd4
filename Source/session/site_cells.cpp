#include <session/site_task_state.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include <peer/loan_number.hpp>
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
    const auto ranks = ranks_of(t, t.m_settings.m_zone);
    const auto self =
        std::ranges::find(ranks, t.m_settings.m_name, &cell_rank::m_name);
    return candidacy_step * (self - ranks.begin());
}

bool outranks_self(const site_task_state& t, std::string_view other)
{
    const auto m = t.m_members.find(other);
    return m != t.m_members.end() &&
           outranks({m->second.m_processor, m->first},
                    {t.m_settings.m_processor, t.m_settings.m_name});
}

void post_leadership(site_task_state& t, time_point until)
{
    t.m_boxes.m_session.post(rates_kept{t.m_cell.m_incarnation, until});
}

time_point leadership_until(const site_task_state& t)
{
    return majority_until(t.m_cell.m_poll, members_of_cell(t));
}

void run_action(site_task_state& t, cell_action action)
{
    const bool leads = action == cell_action::keep;
    log_event(leads ? event_id::cell_kept : event_id::cell_yielded,
              {{"cell", t.m_settings.m_zone},
               {"members", std::to_string(members_of_cell(t).size())},
               {"votes", std::to_string(t.m_cell.m_poll.size())}});
    if (leads)
    {
        t.m_cell.m_incarnation = random_loan_number();
        t.m_weights = {};
        for (auto& [zone, other] : t.m_cell.m_others)
        {
            other.m_last.reset();
            other.m_told = 0;
        }
    }
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

peer_vote_wanted make_vote_request(const site_task_state& t)
{
    peer_vote_wanted m;
    m.m_name = t.m_settings.m_name;
    m.m_address = to_string(t.m_settings.m_peer_listen);
    m.m_incarnation = t.m_incarnation;
    m.m_keeps = t.m_cell.m_state == cell_state::keeping;
    m.m_ending = t.m_ending;
    m.m_store_answers = store_answers(t);
    m.m_store_revision = store_revision(t);
    m.m_config_version = t.m_config ? t.m_config->m_version : 0;
    m.m_content = t.m_content;
    return m;
}

void update_leadership(site_task_state& t, time_point now)
{
    const time_point until = leadership_until(t);
    const bool elected = now < until;
    if (t.m_cell.m_state == cell_state::standing && elected)
        fire(t, cell_event::chosen);
    else if (t.m_cell.m_state == cell_state::keeping && !elected)
        fire(t, cell_event::lapsed);
    else if (t.m_cell.m_state == cell_state::keeping)
        post_leadership(t, until);
}

void request_vote(site_task_state& t, site_peer& p)
{
    if (std::exchange(p.m_asking, true))
        return;
    p.m_asked_at = boot_now();
    call_peer(*p.m_client, make_vote_request(t),
              [&t, &p](std::optional<peer_message>& answer)
              {
                  p.m_asking = false;
                  const auto* m =
                      answer ? std::get_if<peer_vote>(&*answer) : nullptr;
                  note_reached(p, m != nullptr);
                  if (m == nullptr)
                      return;
                  p.m_heard_at = boot_now();
                  catch_up(t, p, m->m_store_answers, m->m_store_revision,
                           m->m_config_version);
                  const bool asks = t.m_cell.m_state == cell_state::standing ||
                                    t.m_cell.m_state == cell_state::keeping;
                  if (!m->m_granted || !asks)
                      return;
                  t.m_cell.m_poll[m->m_name] = p.m_asked_at;
                  update_leadership(t, boot_now());
              });
}

// Calls `use` for each other member of the cell that is a known peer.
template <class Use>
void for_other_members(site_task_state& t, Use use)
{
    for (const std::string& name : members_of_cell(t))
    {
        const auto p =
            t.m_peers.find(to_string(t.m_members.at(name).m_address));
        if (name != t.m_settings.m_name && p != t.m_peers.end())
            use(p->second);
    }
}

void request_votes(site_task_state& t, time_point now)
{
    if (now - t.m_cell.m_asked_at < vote_period)
        return;
    t.m_cell.m_asked_at = now;
    // This process may have promised its own vote to another one.
    if (grant_vote(t.m_cell.m_vote, t.m_settings.m_name, t.m_incarnation,
                   t.m_started_at, now))
        t.m_cell.m_poll[t.m_settings.m_name] = now;
    for_other_members(t,
                      [&](site_peer& p)
                      {
                          request_vote(t, p);
                      });
    update_leadership(t, now);
}

}

std::vector<cell_rank> ranks_of(const site_task_state& t, std::string_view zone)
{
    std::vector<cell_rank> ranks;
    for (const auto& [name, m] : t.m_members)
        if (m.m_zone == zone)
            ranks.push_back({m.m_processor, name});
    std::ranges::sort(ranks, outranks);
    return ranks;
}

std::set<std::string, std::less<>> cells_of(const site_task_state& t)
{
    std::set<std::string, std::less<>> cells;
    for (const auto& [name, m] : t.m_members)
        cells.insert(m.m_zone);
    return cells;
}

bool has_cells(const site_task_state& t)
{
    return t.m_cell.m_state != cell_state::single;
}

std::uint64_t weights_incarnation(const site_task_state& t)
{
    return has_cells(t) ? t.m_cell.m_incarnation : t.m_incarnation;
}

bool keeps_cell(const site_task_state& t, time_point now)
{
    return t.m_cell.m_state == cell_state::keeping && now < leadership_until(t);
}

bool is_relayed(const site_task_state& t, time_point now)
{
    return t.m_cell.m_state == cell_state::following &&
           !t.m_cell.m_keeper.empty() &&
           now - t.m_cell.m_relayed_at < keeper_silence;
}

std::set<std::string, std::less<>> members_of_cell(const site_task_state& t)
{
    std::set<std::string, std::less<>> names;
    for (const auto& [name, m] : t.m_members)
        if (m.m_zone == t.m_settings.m_zone)
            names.insert(name);
    return names;
}

fleet_changed describe_fleet(const site_task_state& t)
{
    fleet_changed m;
    m.m_processes = t.m_members.size();
    m.m_kept = has_cells(t);
    m.m_self = m.m_kept ? t.m_settings.m_zone : t.m_settings.m_name;
    if (m.m_kept)
        m.m_cells = cells_of(t);
    else
        for (const auto& [name, member] : t.m_members)
            m.m_cells.insert(name);
    return m;
}

void update_cell(site_task_state& t)
{
    const bool large = t.m_members.size() >= least_for_cells;
    if (large == has_cells(t))
        return;
    if (large)
        t.m_cell.m_heard_at = boot_now();
    fire(t, large ? cell_event::joined : cell_event::left);
}

void tend_cell(site_task_state& t, time_point now)
{
    if (t.m_ending)
        return;
    switch (t.m_cell.m_state)
    {
    case cell_state::single:
        return;
    case cell_state::following:
        if (now - t.m_started_at < vote_promise ||
            now - t.m_cell.m_heard_at < keeper_silence + candidacy_delay(t))
            return;
        t.m_cell.m_poll.clear();
        t.m_cell.m_keeper.clear();
        fire(t, cell_event::unheard);
        return request_votes(t, now);
    case cell_state::standing:
    case cell_state::keeping:
        return request_votes(t, now);
    }
}

peer_vote take_vote_wanted(site_task_state& t, const peer_vote_wanted& m)
{
    const time_point now = boot_now();
    const auto p = t.m_peers.find(m.m_address);
    if (p != t.m_peers.end())
    {
        p->second.m_heard_at = now;
        catch_up(t, p->second, m.m_store_answers, m.m_store_revision,
                 m.m_config_version);
    }
    const peer_vote_wanted own = make_vote_request(t);
    peer_vote answer{own.m_name, false, own.m_store_answers,
                     own.m_store_revision, own.m_config_version};
    if (m.m_ending)
    {
        release_vote(t.m_cell.m_vote, m.m_name);
        // This process only waits for candidates that rank above it.
        if (t.m_cell.m_keeper == m.m_address)
        {
            t.m_cell.m_keeper.clear();
            t.m_cell.m_heard_at = now - keeper_silence;
        }
        return answer;
    }
    answer.m_granted = grant_vote(t.m_cell.m_vote, m.m_name, m.m_incarnation,
                                  t.m_started_at, now);
    const bool must_yield = m.m_keeps || outranks_self(t, m.m_name);
    if (must_yield)
        t.m_cell.m_heard_at = now;
    if (must_yield && t.m_cell.m_state == cell_state::standing)
        fire(t, cell_event::outranked);
    if (m.m_keeps && t.m_cell.m_state == cell_state::following)
    {
        t.m_cell.m_keeper = m.m_address;
        if (m.m_store_answers)
            t.m_cell.m_relayed_at = now;
        if (m.m_store_answers && p != t.m_peers.end())
            follow_content(t, p->second, m.m_content);
    }
    return answer;
}

void leave_cell(site_task_state& t)
{
    if (t.m_cell.m_state == cell_state::keeping)
        end_cell_digests(t);
    // The other members may elect another leader once they receive this.
    t.m_cell.m_poll.clear();
    post_leadership(t, {});
    for_other_members(t,
                      [&](site_peer& p)
                      {
                          p.m_asking = false;
                          request_vote(t, p);
                      });
}

}
