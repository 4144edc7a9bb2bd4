#include <decide/rate_share.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebellspoke
{

namespace
{

// Peers are asked for units when the demand exceeds high_use of the held rate
// or the tokens fall below low_fill of the held burst.
constexpr double high_use = 0.8;
constexpr double low_fill = 0.5;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

std::uint32_t base_at(const rate_share& s, time_point when)
{
    if (!s.m_entitlement)
        return 0;
    const share_entitlement& r = s.m_entitlement->m_entitlement;
    return when >= r.m_valid_from && when < r.m_valid_until ? s.m_entitled_units
                                                            : 0;
}

void update_bucket(rate_share& s, time_point when)
{
    s.m_ledger.m_base = base_at(s, when);
    const std::uint32_t held = held_units(s.m_ledger);
    const double part = s.m_burst == 0 ? 0 : double(held) / s.m_burst;
    set_share(s.m_bucket, s.m_rate * part, held, when);
}

time_point next_change(const rate_share& s, time_point after)
{
    time_point next = next_expiry(s.m_ledger);
    if (!s.m_entitlement)
        return next;
    const share_entitlement& r = s.m_entitlement->m_entitlement;
    if (r.m_valid_from > after)
        next = std::min(next, r.m_valid_from);
    if (r.m_valid_until > after)
        next = std::min(next, r.m_valid_until);
    return next;
}

// Takes time linear in the number of members, so it is called when the limit or
// the members change and not for each loan or renewed standing.
void update_entitled_units(rate_share& s)
{
    s.m_entitled_units = s.m_entitlement
                             ? entitled_share(s.m_entitlement->m_entitlement,
                                              s.m_burst, s.m_workspace)
                             : 0;
}

}

rate_share make_rate_share(std::string_view workspace, std::uint64_t first_id,
                           time_point now)
{
    rate_share s;
    s.m_workspace = workspace;
    s.m_ledger.m_next_id = first_id;
    // The bucket starts empty: a previous process may have spent the tokens.
    s.m_bucket = {0, 0, 0, now};
    s.m_last_arrival_at = now;
    s.m_advanced_to = now;
    return s;
}

void set_rate(rate_share& s, double rate, double burst, time_point now)
{
    advance_to(s, now);
    s.m_rate = rate;
    const auto units =
        static_cast<std::uint32_t>(std::max(std::floor(burst), 1.0));
    if (std::exchange(s.m_burst, units) != units)
        update_entitled_units(s);
    update_bucket(s, now);
}

void set_entitlement(rate_share& s, shared_entitlement_ptr entitlement,
                     time_point now)
{
    advance_to(s, now);
    const bool same_shares =
        s.m_entitlement && gives_same_shares(s.m_entitlement->m_entitlement,
                                             entitlement->m_entitlement);
    s.m_entitlement = std::move(entitlement);
    if (!same_shares)
        update_entitled_units(s);
    update_bucket(s, now);
}

void set_entitlement(rate_share& s, const share_entitlement& entitlement,
                     time_point now)
{
    set_entitlement(s, make_shared_entitlement(entitlement), now);
}

void fill_bucket(rate_share& s)
{
    s.m_bucket.m_tokens = s.m_bucket.m_burst;
}

// Loans and entitlements may have ended while the process was paused. Tokens
// are added interval by interval, as if it had kept running.
void advance_to(rate_share& s, time_point now)
{
    for (time_point next = next_change(s, s.m_advanced_to); next <= now;
         next = next_change(s, s.m_advanced_to))
    {
        s.m_advanced_to = std::max(s.m_advanced_to, next);
        refill(s.m_bucket, s.m_advanced_to);
        expire_loans(s.m_ledger, s.m_advanced_to);
        update_bucket(s, s.m_advanced_to);
    }
    s.m_advanced_to = std::max(s.m_advanced_to, now);
    refill(s.m_bucket, now);
}

void record_arrival(rate_share& s, time_point now)
{
    s.m_recent_arrivals = demand_of(s, now) * seconds(demand_decay_time) + 1;
    s.m_last_arrival_at = now;
}

double demand_of(const rate_share& s, time_point now)
{
    const double passed = seconds(now - s.m_last_arrival_at);
    const double demand = s.m_recent_arrivals *
                          std::exp(-passed / seconds(demand_decay_time)) /
                          seconds(demand_decay_time);
    constexpr double negligible = 0.5;
    return demand < negligible ? 0 : demand;
}

bool admit_one(rate_share& s, time_point now)
{
    advance_to(s, now);
    return take_token(s.m_bucket, now);
}

std::uint32_t wanted_units(const rate_share& s, time_point now)
{
    const double demand = demand_of(s, now);
    const std::uint32_t held = held_units(s.m_ledger);
    if (demand <= 0 || held >= s.m_burst)
        return 0;
    const bool low = s.m_bucket.m_tokens < low_fill * held || held == 0;
    const bool busy = demand > high_use * s.m_bucket.m_rate;
    return low || busy ? s.m_burst - held : 0;
}

bool should_renew_loans(const rate_share& s, time_point now)
{
    return s.m_recent_arrivals > 0 &&
           now - s.m_last_arrival_at < rate_loan_idle_limit;
}

bool should_ask_peers(const rate_share& s, time_point now)
{
    const bool keeps =
        should_renew_loans(s, now) && has_loans_to_renew(s.m_ledger, now);
    return keeps || wanted_units(s, now) > 0;
}

loan_request make_loan_request(const rate_share& s, std::string_view self,
                               std::string_view lender, time_point now)
{
    return make_loan_request(
        s.m_ledger,
        {wanted_units(s, now), demand_of(s, now), should_renew_loans(s, now)},
        self, lender);
}

rate_loan lend_rate(rate_share& s, const loan_request& request, time_point now)
{
    advance_to(s, now);
    const std::uint32_t held = held_units(s.m_ledger);
    const double tokens = s.m_bucket.m_tokens;
    rate_loan answer;
    answer.m_units =
        answer_loan_request(s.m_ledger, request, demand_of(s, now), held, now);
    const std::uint32_t units = offered_units(answer.m_units);
    if (units > 0)
    {
        answer.m_tokens = tokens * units / held;
        s.m_bucket.m_tokens = tokens - answer.m_tokens;
    }
    update_bucket(s, now);
    return answer;
}

// Tokens are added only for units that are still valid. When an answer arrives
// late, one side has given up its units and the other has refilled the tokens.
std::uint32_t apply_rate_loan(rate_share& s, std::string_view lender,
                              const rate_loan& answer, time_point asked_at,
                              time_point now)
{
    advance_to(s, now);
    const std::uint32_t gained =
        apply_loan_answer(s.m_ledger, lender, answer.m_units, asked_at, now);
    update_bucket(s, now);
    const std::uint32_t offered = offered_units(answer.m_units);
    if (gained == 0 || offered == 0)
        return 0;
    const double part = std::min(1.0, double(gained) / offered);
    s.m_bucket.m_tokens = std::min(
        s.m_bucket.m_burst, s.m_bucket.m_tokens + answer.m_tokens * part);
    return gained;
}

bool within_entitlement(const rate_share& s)
{
    return count_units(s.m_ledger.m_lent) <= s.m_entitled_units;
}

}
