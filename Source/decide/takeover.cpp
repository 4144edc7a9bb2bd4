#include <decide/takeover.hpp>

#include <algorithm>
#include <vector>

namespace bluebellspoke
{

std::string_view to_string(takeover_reason reason) noexcept
{
    switch (reason)
    {
    case takeover_reason::silent:
        return "silent";
    case takeover_reason::starved:
        return "starved";
    case takeover_reason::leaving:
        return "leaving";
    case takeover_reason::missing:
        return "missing";
    case takeover_reason::order_pending:
        return "order_pending";
    case takeover_reason::none:
        break;
    }
    return "none";
}

takeover_reason evaluate_primary(const primary_evidence& e, time_point now)
{
    if (e.m_known && e.m_leaving)
        return takeover_reason::leaving;
    // An earlier takeover paused members and was not completed.
    if (!e.m_known && e.m_takeover_interrupted)
        return takeover_reason::missing;
    if (now - e.m_last_contact_at >= primary_timeout)
        return e.m_known ? takeover_reason::silent : takeover_reason::missing;
    if (e.m_commits_stalled_since != time_point{} &&
        now - e.m_commits_stalled_since >= commit_stall_timeout)
        return takeover_reason::starved;
    return takeover_reason::none;
}

bool may_show_stall(time_point sent_at, time_point acknowledged_sent_at,
                    time_point now)
{
    return now - sent_at < commit_stall_timeout &&
           acknowledged_sent_at <= sent_at;
}

std::size_t fence_quorum(std::size_t members,
                         std::uint32_t sync_replicas) noexcept
{
    return members > sync_replicas ? members - sync_replicas : 1;
}

bool is_fenced(const takeover_member& m, term_number term) noexcept
{
    if (!m.m_reachable || m.m_status.m_role != endpoint_role::replica)
        return false;
    return m.m_stepped_down || m.m_status.m_paused_term >= term;
}

void record_response(takeover_member& m, const endpoint_status& status,
                     term_number term, time_point asked_at, time_point now)
{
    // A promotion ends the pauses of its group.
    const bool learned_new_term = status.m_term > m.m_status.m_term;
    // In another term it may have taken part in commits since it stepped down.
    const bool ends_step_down =
        m.m_stepped_down && (status.m_role == endpoint_role::primary ||
                             status.m_term != m.m_status.m_term);
    if (ends_step_down)
        m.m_stepped_down = false;
    m.m_reachable = true;
    m.m_status = status;
    m.m_asked_at = asked_at;
    if (is_fenced(m, term))
    {
        if (m.m_fenced_at == time_point{} || ends_step_down)
            m.m_fenced_at = now;
        return;
    }
    if (m.m_fenced_at != time_point{} && !learned_new_term)
        m.m_fence_lost = true;
    m.m_fenced_at = {};
}

term_number newest_term(std::span<const takeover_member> members) noexcept
{
    term_number newest = 0;
    for (const takeover_member& m : members)
        newest =
            std::max({newest, m.m_status.m_term, m.m_status.m_position.m_term});
    return newest;
}

bool update_old_term(std::span<const takeover_member> members,
                     term_number& old_term, term_number fenced_term) noexcept
{
    old_term = std::max(old_term, newest_term(members));
    return fenced_term > old_term;
}

void end_old_step_down(takeover_member& m, term_number newest, term_number term,
                       time_point now) noexcept
{
    if (!m.m_stepped_down || m.m_status.m_term >= newest)
        return;
    m.m_stepped_down = false;
    m.m_fenced_at = is_fenced(m, term) ? now : time_point{};
}

term_number next_term(std::span<const takeover_member> members,
                      term_number wanted) noexcept
{
    for (const takeover_member& m : members)
    {
        const term_number seen =
            std::max(m.m_status.m_term, m.m_status.m_position.m_term);
        wanted = std::max({wanted, seen + 1, m.m_status.m_paused_term});
    }
    return wanted;
}

bool may_hold_commits(const takeover_member& m, term_number newest) noexcept
{
    const bool is_empty = m.m_reachable && m.m_status.m_term == 0 &&
                          m.m_status.m_position == log_position{};
    return !is_empty || newest == 0;
}

std::optional<log_position>
find_end_of_term(std::span<const takeover_member> members, term_number newest,
                 term_number term) noexcept
{
    const auto primary =
        std::ranges::find_if(members,
                             [&](const takeover_member& m)
                             {
                                 return m.m_stepped_down &&
                                        is_fenced(m, term) &&
                                        m.m_status.m_term >= newest;
                             });
    if (primary == members.end())
        return std::nullopt;
    return primary->m_status.m_position;
}

namespace
{

// Returns `ordered` if it is one of the fenced members and no eligible one has
// a more advanced log.
std::optional<std::string>
choose_ordered(std::span<const takeover_member* const> fenced,
               std::span<const takeover_member* const> eligible,
               std::string_view ordered)
{
    const auto found = std::ranges::find(fenced, ordered,
                                         [](const takeover_member* m)
                                         {
                                             return std::string_view(m->m_id);
                                         });
    if (found == fenced.end())
        return std::nullopt;
    const bool is_behind = std::ranges::any_of(
        eligible,
        [&](const takeover_member* m)
        {
            return m->m_status.m_position > (*found)->m_status.m_position;
        });
    if (is_behind)
        return std::nullopt;
    return (*found)->m_id;
}

}

std::optional<std::string>
choose_successor(std::span<const takeover_member> members, term_number term,
                 std::uint32_t sync_replicas, std::string_view ordered,
                 std::optional<log_position> end)
{
    const std::size_t needed = fence_quorum(members.size(), sync_replicas);
    std::vector<const takeover_member*> fenced;
    for (const takeover_member& m : members)
        if (is_fenced(m, term))
            fenced.push_back(&m);
    if (fenced.size() < needed && !end)
        return std::nullopt;
    // Any `needed` logs together hold every acknowledged commit, so leaving
    // members are ignored as long as enough others remain.
    std::vector<const takeover_member*> eligible;
    std::ranges::copy_if(fenced, std::back_inserter(eligible),
                         [](const takeover_member* m)
                         {
                             return !m->m_leaving;
                         });
    if (eligible.size() < needed)
    {
        eligible = fenced;
        if (end)
            std::erase_if(eligible,
                          [&](const takeover_member* m)
                          {
                              return m->m_status.m_position < *end;
                          });
    }
    if (eligible.empty())
        return std::nullopt;
    if (!ordered.empty())
        return choose_ordered(fenced, eligible, ordered);
    const auto best = std::ranges::max_element(
        eligible,
        [](const takeover_member* a, const takeover_member* b)
        {
            return std::pair(a->m_status.m_position, !a->m_leaving) <
                   std::pair(b->m_status.m_position, !b->m_leaving);
        });
    return (*best)->m_id;
}

namespace
{

// Returns true if a member that was listed after the others were fenced takes
// part in commits of an earlier term than the one that they are fenced for.
bool takes_part(const takeover_member& m, term_number term)
{
    return m.m_joined_late && m.m_reachable && !is_fenced(m, term) &&
           m.m_status.m_term < term;
}

}

fence_state evaluate_fence(std::span<const takeover_member> members,
                           term_number term, std::uint32_t sync_replicas,
                           std::string_view successor, time_point since,
                           std::optional<log_position> end)
{
    std::vector<takeover_member> recent(members.begin(), members.end());
    for (takeover_member& m : recent)
    {
        m.m_reachable = m.m_reachable && m.m_asked_at >= since;
        if (m.m_fence_lost || takes_part(m, term))
            return fence_state::lost;
    }
    if (choose_successor(recent, term, sync_replicas, successor, end))
        return fence_state::confirmed;
    const bool is_behind =
        choose_successor(recent, term, sync_replicas, {}, end) &&
        std::ranges::any_of(recent,
                            [&](const takeover_member& m)
                            {
                                return m.m_id == successor &&
                                       is_fenced(m, term);
                            });
    return is_behind ? fence_state::lost : fence_state::unconfirmed;
}

bool has_taken_effect(const ordered_promotion& o, std::string_view primary,
                      term_number term) noexcept
{
    return o.m_endpoint == primary && term >= o.m_term;
}

bool had_no_effect(const ordered_promotion& o,
                   const takeover_member& m) noexcept
{
    return o.m_endpoint == m.m_id && m.m_reachable &&
           m.m_asked_at >= o.m_expires_at && m.m_status.m_term != 0 &&
           m.m_status.m_term < o.m_term;
}

std::string_view pending_endpoint(const ordered_promotion& o,
                                  time_point now) noexcept
{
    return now < o.m_expires_at ? std::string_view(o.m_endpoint)
                                : std::string_view();
}

}
