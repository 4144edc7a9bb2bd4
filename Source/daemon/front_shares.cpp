#include <daemon/front_shares.hpp>

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include <daemon/front_state.hpp>
#include <front/statement_codec.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::size_t most_waiting = 256; ///< Requests of one workspace.

void refuse(front_state& f, exchange_id exchange, std::string_view workspace,
            refusal code)
{
    const refusal_error r(code);
    count_refused(f.m_counts, workspace, r);
    f.m_server->respond(exchange, encode_refusal(r));
}

void hand_to_pool(front_state& f, pool_request&& request)
{
    const exchange_id exchange = request.m_context.m_exchange;
    const resolved_settings_ptr keep = request.m_context.m_settings;
    const std::string_view workspace = request.m_context.m_workspace->m_name;
    if (!f.m_boxes.m_pool.try_post(std::move(request)))
        refuse(f, exchange, workspace, refusal::overloaded);
}

bool has_right(const front_state& f, time_point now)
{
    if (!f.m_rates.m_right)
        return false;
    const share_entitlement& right = f.m_rates.m_right->m_entitlement;
    return now >= right.m_valid_from && now < right.m_valid_until;
}

refusal code_now(const front_state& f, time_point now)
{
    return has_right(f, now) ? refusal::rate_exceeded
                             : refusal::configuration_stale;
}

void admit_waiting(front_state& f, front_rate& r, time_point now)
{
    while (!r.m_waiting.empty() && admit_one(r.m_share, now))
    {
        pool_request request = std::move(r.m_waiting.front().m_request);
        r.m_waiting.pop_front();
        hand_to_pool(f, std::move(request));
    }
    while (!r.m_waiting.empty() &&
           now - r.m_waiting.front().m_since >= max_loan_wait)
    {
        const pool_request request = std::move(r.m_waiting.front().m_request);
        r.m_waiting.pop_front();
        refuse(f, request.m_context.m_exchange, r.m_share.m_workspace,
               code_now(f, now));
    }
}

void ask_peers(front_state& f, front_rate& r, time_point now)
{
    const shared_entitlement_ptr& right = f.m_rates.m_right;
    const rate_share& s = r.m_share;
    if (!right || !is_due(r.m_round, now) || !should_ask_peers(s, now))
        return;
    schedule_next_round(r.m_round, now);
    const bool wants = !f.m_daemon.m_even_shares && wanted_units(s, now) > 0;
    for (const std::string& lender :
         select_lenders(right->m_entitlement, s.m_workspace, s.m_ledger, wants))
        f.m_boxes.m_control.post(outgoing_loan_request{
            share_kind::rate, s.m_workspace, lender,
            make_loan_request(s, f.m_daemon.m_name, lender, now)});
}

// An epoch is applied when nothing is lent beyond what it gives.
void report_applied(front_state& f)
{
    front_rates& rates = f.m_rates;
    if (!rates.m_right)
        return;
    const std::uint64_t epoch = rates.m_right->m_entitlement.m_epoch.m_number;
    if (rates.m_applied == epoch)
        return;
    for (const auto& [name, r] : rates.m_rates)
        if (!within_entitlement(r.m_share))
            return;
    rates.m_applied = epoch;
    f.m_boxes.m_control.post(
        right_applied{share_holder::front, rates.m_applied});
}

bool is_active(const front_rate& r, time_point now)
{
    return !r.m_waiting.empty() || !r.m_share.m_ledger.m_lent.empty() ||
           should_renew_loans(r.m_share, now);
}

void start_ticking(front_state& f)
{
    if (!std::exchange(f.m_rates.m_ticking, true))
        f.m_tick.start_once(min_ask_interval);
}

front_rate& rate_of(front_state& f, const std::string& workspace,
                    time_point now)
{
    const auto [entry, added] = f.m_rates.m_rates.try_emplace(workspace);
    if (added)
        entry->second.m_share =
            make_rate_share(workspace, f.m_rates.m_first_loan, now);
    return entry->second;
}

}

void update_rates(front_state& f)
{
    if (!f.m_settings)
        return;
    const time_point now = monotonic_clock::now();
    // What is still lent keeps its place: a workspace that comes back must not
    // be lent twice.
    std::erase_if(
        f.m_rates.m_rates,
        [&](const auto& entry)
        {
            const front_rate& r = entry.second;
            return !f.m_settings->m_workspaces.contains(entry.first) &&
                   r.m_waiting.empty() && r.m_share.m_ledger.m_lent.empty();
        });
    // Nobody has spent anything of a workspace that is new to the tree. One
    // that the first settings bring may be older than this process.
    const bool new_to_tree = std::exchange(f.m_rates.m_knows_tree, true);
    for (const auto& [name, workspace] : f.m_settings->m_workspaces)
    {
        const bool fresh = new_to_tree && !f.m_rates.m_rates.contains(name);
        front_rate& r = rate_of(f, name, now);
        if (f.m_rates.m_right)
            set_entitlement(r.m_share, f.m_rates.m_right, now);
        set_rate(r.m_share, workspace.m_rate, workspace.m_burst, now);
        if (fresh)
            fill_bucket(r.m_share);
    }
}

void take_right(front_state& f, const share_entitlement& right)
{
    const time_point now = monotonic_clock::now();
    f.m_rates.m_right = make_shared_entitlement(right);
    for (auto& [name, r] : f.m_rates.m_rates)
    {
        set_entitlement(r.m_share, f.m_rates.m_right, now);
        admit_waiting(f, r, now);
    }
    report_applied(f);
    start_ticking(f);
}

void admit_by_rate(front_state& f, pool_request&& request)
{
    const time_point now = monotonic_clock::now();
    front_rate& r = rate_of(f, request.m_context.m_workspace->m_name, now);
    record_arrival(r.m_share, now);
    start_ticking(f);
    if (r.m_waiting.empty() && admit_one(r.m_share, now))
    {
        hand_to_pool(f, std::move(request));
        ask_peers(f, r, now);
        return;
    }
    const bool holds_all = held_units(r.m_share.m_ledger) >= r.m_share.m_burst;
    if (holds_all || r.m_waiting.size() >= most_waiting)
        throw refusal_error(code_now(f, now));
    r.m_waiting.push_back({std::move(request), now});
    ask_peers(f, r, now);
}

void forget_waiting(front_state& f, exchange_id exchange)
{
    for (auto& [name, r] : f.m_rates.m_rates)
        std::erase_if(r.m_waiting,
                      [&](const waiting_request& w)
                      {
                          return w.m_request.m_context.m_exchange == exchange;
                      });
}

void lend_to_peer(front_state& f, const incoming_loan_request& asked)
{
    const auto r = f.m_rates.m_rates.find(asked.m_resource);
    rate_loan given;
    if (r != f.m_rates.m_rates.end())
        given = lend_rate(r->second.m_share, asked.m_request,
                          monotonic_clock::now());
    f.m_boxes.m_control.post(outgoing_loan{asked.m_exchange, std::move(given)});
    start_ticking(f);
}

void take_loan(front_state& f, const incoming_loan& arrived)
{
    const auto found = f.m_rates.m_rates.find(arrived.m_resource);
    if (found == f.m_rates.m_rates.end())
        return;
    const time_point now = monotonic_clock::now();
    front_rate& r = found->second;
    if (apply_rate_loan(r.m_share, arrived.m_lender, arrived.m_loan,
                        arrived.m_requested_at, now) > 0)
        r.m_round.m_backoff = {};
    admit_waiting(f, r, now);
}

void tick_rates(front_state& f)
{
    const time_point now = monotonic_clock::now();
    bool active = false;
    for (auto& [name, r] : f.m_rates.m_rates)
    {
        advance_to(r.m_share, now);
        admit_waiting(f, r, now);
        ask_peers(f, r, now);
        active = active || is_active(r, now);
    }
    report_applied(f);
    f.m_rates.m_ticking = false;
    if (active)
        start_ticking(f);
}

nlohmann::json describe_rates(const front_state& f)
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [name, r] : f.m_rates.m_rates)
        out[name] = {{"rate", r.m_share.m_bucket.m_rate},
                     {"burst", r.m_share.m_bucket.m_burst},
                     {"tokens", r.m_share.m_bucket.m_tokens},
                     {"base", r.m_share.m_ledger.m_base},
                     {"lent", count_units(r.m_share.m_ledger.m_lent)},
                     {"borrowed", count_units(r.m_share.m_ledger.m_borrowed)},
                     {"waiting", r.m_waiting.size()}};
    return out;
}

}
