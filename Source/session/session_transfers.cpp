#include <session/session_task_state.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

std::vector<std::string_view> donors_of(const session_task_state& t)
{
    std::vector<cell_place> cells;
    for (const std::string& zone : t.m_demand.m_members)
        cells.push_back({zone, region_of(t.m_settings, zone)});
    return donor_cells(t.m_demand.m_self, cells);
}

// Refuses what can't get a token of the cell's own part in time.
void refuse_without_transfer(session_task_state& t, workspace_rate& r,
                             time_point now)
{
    refuse_expired(t, r, now + time_until_tokens(r, 1),
                   [](const work&)
                   {
                       return std::string("no cell has a token to spare");
                   });
}

void apply_transferred_tokens(session_task_state& t, workspace_rate& r,
                              std::uint32_t count, std::size_t donors,
                              time_point now)
{
    t.m_counts.m_tokens_received += count;
    const bool may_get_more = end_transfer(r.m_transfers, count, donors, now);
    while (has_waiting_work(r) && admit_one(r, now))
        admit_next(t, r, now);
    if (!may_get_more)
        refuse_without_transfer(t, r, now);
}

}

bool uses_transfers(const session_task_state& t, const workspace_rate& r)
{
    return t.m_has_cell_leaders &&
           uses_transfers(r.m_burst, t.m_demand.m_members.size());
}

void request_transfers(session_task_state& t, time_point now)
{
    if (!t.m_has_cell_leaders)
        return;
    std::vector<std::string_view> donors;
    std::map<std::string_view, std::vector<workspace_tokens>> by_donor;
    for (auto& [name, r] : t.m_rates)
    {
        const std::uint32_t count =
            tokens_to_request(r.m_transfers, backlog(r.m_waiting), now);
        if (count == 0 || !uses_transfers(t, r))
            continue;
        if (donors.empty())
            donors = donors_of(t);
        if (donors.empty())
            return;
        // Cells may have gone meanwhile.
        const std::size_t donor = r.m_transfers.m_next_donor % donors.size();
        begin_transfer(r.m_transfers);
        by_donor[donors[donor]].push_back({name, count});
    }
    for (auto& [zone, tokens] : by_donor)
        t.m_mailboxes.m_site.post(
            token_transfer_request{std::string(zone), std::move(tokens)});
}

void apply_transfer(session_task_state& t, const token_transfer& m)
{
    const time_point now = boot_now();
    const std::size_t donors = donors_of(t).size();
    for (const workspace_tokens& requested : m.m_requested)
    {
        const auto found = t.m_rates.find(requested.m_workspace);
        if (found == t.m_rates.end())
            continue;
        std::uint32_t count = 0;
        for (const workspace_tokens& granted : m.m_granted)
            if (granted.m_workspace == requested.m_workspace)
                count = std::min(granted.m_count, requested.m_count);
        if (is_logged(event_id::tokens_transferred))
            log_event(event_id::tokens_transferred,
                      {{"workspace", requested.m_workspace},
                       {"cell", m.m_zone},
                       {"requested", std::to_string(requested.m_count)},
                       {"received", std::to_string(count)},
                       {"waiting",
                        std::to_string(backlog(found->second.m_waiting))}});
        apply_transferred_tokens(t, found->second, count, donors, now);
    }
}

std::uint32_t give_tokens(session_task_state& t, workspace_rate& r,
                          std::uint32_t wanted, time_point now)
{
    refill(r.m_bucket, now);
    const bool lacks_tokens =
        has_waiting_work(r) || r.m_transfers.m_missing > 0;
    if (lacks_tokens || !uses_transfers(t, r))
        return 0;
    const std::uint32_t count = spare_tokens(r.m_bucket, wanted);
    r.m_bucket.m_tokens -= count;
    t.m_counts.m_tokens_given += count;
    return count;
}

}
