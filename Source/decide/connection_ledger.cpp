#include <decide/connection_ledger.hpp>

#include <algorithm>

#include <decide/connection_share.hpp>

namespace bluebellspoke
{

namespace
{

// Never lent, so that the next request needs no loan and a successor of this
// process can use them at once.
constexpr std::uint32_t reserved_connections = 1;

std::uint32_t saturating_sub(std::uint32_t units, std::uint32_t taken)
{
    return units - std::min(units, taken);
}

// Loans that the previous process granted may still run, including the time
// that their borrowers have to close connections. The reserved connections were
// never lent and may be used before that.
time_point valid_from(const share_entitlement& entitlement)
{
    const bool never = entitlement.m_valid_from == time_point::max();
    if (entitlement.m_is_first_incarnation || never)
        return entitlement.m_valid_from;
    return entitlement.m_valid_from + revocation_grace +
           connection_idle_timeout;
}

std::uint32_t units_at(const connection_ledger& b, std::uint32_t units,
                       time_point now)
{
    return now < b.m_valid_from ? std::min(units, reserved_connections) : units;
}

std::uint32_t own_units(const connection_ledger& b)
{
    return saturating_sub(b.m_ledger.m_base, count_units(b.m_ledger.m_lent));
}

std::uint32_t current_demand(const connection_ledger& b, time_point now)
{
    return now - b.m_peak_demand_at < demand_hold_time ? b.m_peak_demand : 0;
}

bool wants_renewals(const connection_ledger& b, time_point now)
{
    return now - b.m_last_shortage_at < connection_loan_idle_limit;
}

// A new member's monitor connection is reserved by all others once they have
// applied the epoch.
bool is_monitor_reserved(const share_entitlement& entitlement)
{
    const fleet_epoch& e = entitlement.m_epoch;
    return find_member(entitlement.m_settled ? e.m_members : e.m_former,
                       entitlement.m_self.m_name) != nullptr;
}

// A daemon without a reserved monitor connection uses one of its borrowed units
// for the monitor.
std::uint32_t monitor_units(const connection_ledger& b)
{
    return b.m_monitor_reserved ? 0 : 1;
}

bool entitlement_ended(const connection_ledger& b, time_point now)
{
    return now >= b.m_valid_until + revocation_grace;
}

// Includes the monitor and busy connections.
std::uint32_t max_units(const connection_ledger& b, time_point now)
{
    std::uint32_t most =
        entitlement_ended(b, now) ? 0 : units_at(b, b.m_enforced_units, now);
    most += count_units(b.m_ledger.m_borrowed);
    for (const expired_loan& l : b.m_expired_loans)
        most += l.m_units;
    return saturating_sub(most, count_units(b.m_ledger.m_lent));
}

}

connection_ledger make_connection_ledger(std::string_view endpoint,
                                         std::uint64_t first_id)
{
    connection_ledger b;
    b.m_endpoint = endpoint;
    b.m_ledger.m_next_id = first_id;
    b.m_ledger.m_reserved = reserved_connections;
    b.m_ledger.m_borrower_grace = revocation_grace + connection_idle_timeout;
    b.m_ledger.m_always_renews = true;
    return b;
}

void set_connection_limit(connection_ledger& b,
                          const share_entitlement& entitlement,
                          std::uint32_t limit, time_point now)
{
    b.m_limit = limit;
    b.m_monitor_reserved = is_monitor_reserved(entitlement);
    b.m_entitled_units = connection_share(entitlement, limit, b.m_endpoint);
    // Open connections may be busy, so a smaller share is enforced only once
    // they fit it.
    b.m_enforced_units = std::max(b.m_enforced_units, b.m_entitled_units);
    b.m_valid_from = valid_from(entitlement);
    b.m_valid_until = entitlement.m_valid_until;
    advance_to(b, now);
}

void advance_to(connection_ledger& b, time_point now)
{
    for (const loan& l : b.m_ledger.m_borrowed)
        if (l.m_expires <= now)
            b.m_expired_loans.push_back(
                {l.m_units, l.m_expires + revocation_grace});
    std::erase_if(b.m_expired_loans,
                  [&](const expired_loan& l)
                  {
                      return l.m_close_at <= now;
                  });
    expire_loans(b.m_ledger, now);
    b.m_ledger.m_base =
        now < b.m_valid_until ? units_at(b, b.m_entitled_units, now) : 0;
}

void record_usage(connection_ledger& b, const connection_usage& usage,
                  time_point now)
{
    const std::uint32_t demand =
        std::min(usage.m_busy + usage.m_waiting + monitor_units(b), b.m_limit);
    if (demand >= current_demand(b, now))
    {
        b.m_peak_demand = demand;
        b.m_peak_demand_at = now;
    }
    if (demand > own_units(b))
        b.m_last_shortage_at = now;
}

std::uint32_t usable_connections(const connection_ledger& b, time_point now)
{
    const std::uint32_t held =
        saturating_sub(held_units(b.m_ledger), monitor_units(b));
    return now < b.m_yield_until ? std::min(held, b.m_yield_limit) : held;
}

std::uint32_t max_open_connections(const connection_ledger& b, time_point now)
{
    return saturating_sub(max_units(b, now), monitor_units(b));
}

bool may_monitor(const connection_ledger& b, time_point now)
{
    if (b.m_monitor_reserved)
        return !entitlement_ended(b, now);
    return max_units(b, now) > 0;
}

std::uint32_t wanted_connections(const connection_ledger& b, time_point now)
{
    const std::uint32_t demand = current_demand(b, now);
    const std::uint32_t held = held_units(b.m_ledger);
    return saturating_sub(demand, held);
}

bool should_ask_peers(const connection_ledger& b, time_point now)
{
    const bool keeps =
        wants_renewals(b, now) && has_loans_to_renew(b.m_ledger, now);
    return keeps || wanted_connections(b, now) > 0;
}

loan_request make_loan_request(const connection_ledger& b,
                               std::string_view self, std::string_view lender,
                               time_point now)
{
    const double demand = current_demand(b, now);
    return make_loan_request(
        b.m_ledger,
        {wanted_connections(b, now), demand, wants_renewals(b, now)}, self,
        lender);
}

loan_answer lend_connections(connection_ledger& b, const loan_request& request,
                             const connection_usage& usage, time_point now)
{
    advance_to(b, now);
    const std::uint32_t demand = current_demand(b, now);
    const std::uint32_t held = held_units(b.m_ledger);
    const std::uint32_t give =
        std::min(units_to_give(held, demand, request),
                 saturating_sub(held, reserved_connections));
    if (give > 0)
    {
        b.m_yield_limit = held - give;
        b.m_yield_until = now + yield_time;
    }
    const std::uint32_t taken =
        std::max(usage.m_open + monitor_units(b), reserved_connections);
    return answer_loan_request(b.m_ledger, request, demand,
                               saturating_sub(held, taken), now);
}

std::uint32_t apply_connection_loan(connection_ledger& b,
                                    std::string_view lender,
                                    const loan_answer& answer,
                                    time_point asked_at, time_point now)
{
    advance_to(b, now);
    return apply_loan_answer(b.m_ledger, lender, answer, asked_at, now);
}

bool within_entitlement(connection_ledger& b, const connection_usage& usage,
                        time_point now)
{
    advance_to(b, now);
    const bool fits = count_units(b.m_ledger.m_lent) <= b.m_entitled_units &&
                      usage.m_open <= saturating_sub(held_units(b.m_ledger),
                                                     monitor_units(b));
    if (fits)
        b.m_enforced_units = b.m_entitled_units;
    return fits;
}

time_point next_change(const connection_ledger& b, time_point after)
{
    time_point next = next_expiry(b.m_ledger);
    const auto consider = [&](time_point at)
    {
        if (at > after)
            next = std::min(next, at);
    };
    consider(b.m_valid_from);
    consider(b.m_valid_until);
    consider(b.m_valid_until + revocation_grace);
    for (const expired_loan& l : b.m_expired_loans)
        consider(l.m_close_at);
    return next;
}

}
