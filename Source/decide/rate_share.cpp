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
    if (!s.m_right)
        return 0;
    const share_right& r = s.m_right->m_right;
    return when >= r.m_from && when < r.m_until ? s.m_by_right : 0;
}

void update_bucket(rate_share& s, time_point when)
{
    s.m_book.m_base = base_at(s, when);
    const std::uint32_t held = held_units(s.m_book);
    const double part = s.m_burst == 0 ? 0 : double(held) / s.m_burst;
    set_share(s.m_bucket, s.m_rate * part, held, when);
}

time_point next_change(const rate_share& s, time_point after)
{
    time_point next = next_expiry(s.m_book);
    if (!s.m_right)
        return next;
    const share_right& r = s.m_right->m_right;
    if (r.m_from > after)
        next = std::min(next, r.m_from);
    if (r.m_until > after)
        next = std::min(next, r.m_until);
    return next;
}

// Takes time linear in the number of members, so it is called when the limit or
// the members change and not for each loan or renewed standing.
void update_entitled_units(rate_share& s)
{
    s.m_by_right =
        s.m_right ? share_by_right(s.m_right->m_right, s.m_burst, s.m_workspace)
                  : 0;
}

}

rate_share make_rate_share(std::string_view workspace, std::uint64_t first_id,
                           time_point now)
{
    rate_share s;
    s.m_workspace = workspace;
    s.m_book.m_next_id = first_id;
    // The bucket starts empty: a previous process may have spent the tokens.
    s.m_bucket = {0, 0, 0, now};
    s.m_recent_at = now;
    s.m_settled_at = now;
    return s;
}

void set_rate(rate_share& s, double rate, double burst, time_point now)
{
    settle(s, now);
    s.m_rate = rate;
    const auto units =
        static_cast<std::uint32_t>(std::max(std::floor(burst), 1.0));
    if (std::exchange(s.m_burst, units) != units)
        update_entitled_units(s);
    update_bucket(s, now);
}

void set_right(rate_share& s, shared_right_ptr right, time_point now)
{
    settle(s, now);
    const bool same_shares =
        s.m_right && divides_alike(s.m_right->m_right, right->m_right);
    s.m_right = std::move(right);
    if (!same_shares)
        update_entitled_units(s);
    update_bucket(s, now);
}

void set_right(rate_share& s, const share_right& right, time_point now)
{
    set_right(s, share(right), now);
}

void fill_bucket(rate_share& s)
{
    s.m_bucket.m_tokens = s.m_bucket.m_burst;
}

// Loans and entitlements may have ended while the process was paused. Tokens
// are added interval by interval, as if it had kept running.
void settle(rate_share& s, time_point now)
{
    for (time_point next = next_change(s, s.m_settled_at); next <= now;
         next = next_change(s, s.m_settled_at))
    {
        s.m_settled_at = std::max(s.m_settled_at, next);
        refill(s.m_bucket, s.m_settled_at);
        expire_loans(s.m_book, s.m_settled_at);
        update_bucket(s, s.m_settled_at);
    }
    s.m_settled_at = std::max(s.m_settled_at, now);
    refill(s.m_bucket, now);
}

void note_arrival(rate_share& s, time_point now)
{
    s.m_recent = demand_of(s, now) * seconds(demand_memory) + 1;
    s.m_recent_at = now;
}

double demand_of(const rate_share& s, time_point now)
{
    const double passed = seconds(now - s.m_recent_at);
    const double demand = s.m_recent *
                          std::exp(-passed / seconds(demand_memory)) /
                          seconds(demand_memory);
    constexpr double negligible = 0.5;
    return demand < negligible ? 0 : demand;
}

bool admit_one(rate_share& s, time_point now)
{
    settle(s, now);
    return take_token(s.m_bucket, now);
}

std::uint32_t wanted_units(const rate_share& s, time_point now)
{
    const double demand = demand_of(s, now);
    const std::uint32_t held = held_units(s.m_book);
    if (demand <= 0 || held >= s.m_burst)
        return 0;
    const bool low = s.m_bucket.m_tokens < low_fill * held || held == 0;
    const bool busy = demand > high_use * s.m_bucket.m_rate;
    return low || busy ? s.m_burst - held : 0;
}

bool keeps_loans(const rate_share& s, time_point now)
{
    return s.m_recent > 0 && now - s.m_recent_at < keep_bound;
}

bool needs_peers(const rate_share& s, time_point now)
{
    const bool keeps = keeps_loans(s, now) && has_loans_to_keep(s.m_book, now);
    return keeps || wanted_units(s, now) > 0;
}

loan_ask make_ask(const rate_share& s, std::string_view self,
                  std::string_view lender, time_point now)
{
    return make_ask(
        s.m_book,
        {wanted_units(s, now), demand_of(s, now), keeps_loans(s, now)}, self,
        lender);
}

rate_loan lend_rate(rate_share& s, const loan_ask& ask, time_point now)
{
    settle(s, now);
    const std::uint32_t held = held_units(s.m_book);
    const double tokens = s.m_bucket.m_tokens;
    rate_loan given;
    given.m_units = answer_ask(s.m_book, ask, demand_of(s, now), held, now);
    const std::uint32_t units = offered_units(given.m_units);
    if (units > 0)
    {
        given.m_tokens = tokens * units / held;
        s.m_bucket.m_tokens = tokens - given.m_tokens;
    }
    update_bucket(s, now);
    return given;
}

// Tokens are added only for units that are still valid. When an answer arrives
// late, one side has given up its units and the other has refilled the tokens.
std::uint32_t take_rate_loan(rate_share& s, std::string_view lender,
                             const rate_loan& answer, time_point asked_at,
                             time_point now)
{
    settle(s, now);
    const std::uint32_t gained =
        take_loan(s.m_book, lender, answer.m_units, asked_at, now);
    update_bucket(s, now);
    const std::uint32_t offered = offered_units(answer.m_units);
    if (gained == 0 || offered == 0)
        return 0;
    const double part = std::min(1.0, double(gained) / offered);
    s.m_bucket.m_tokens = std::min(
        s.m_bucket.m_burst, s.m_bucket.m_tokens + answer.m_tokens * part);
    return gained;
}

bool keeps_to_right(const rate_share& s)
{
    return count_units(s.m_book.m_lent) <= s.m_by_right;
}

}
