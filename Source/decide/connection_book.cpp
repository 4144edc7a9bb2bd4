#include <decide/connection_book.hpp>

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
time_point valid_from(const share_right& right)
{
    const bool never = right.m_from == time_point::max();
    if (right.m_new_name || never)
        return right.m_from;
    return right.m_from + drop_grace + silence_bound;
}

std::uint32_t units_at(const connection_book& b, std::uint32_t units,
                       time_point now)
{
    return now < b.m_from ? std::min(units, reserved_connections) : units;
}

std::uint32_t own_units(const connection_book& b)
{
    return saturating_sub(b.m_book.m_base, count_units(b.m_book.m_lent));
}

std::uint32_t current_demand(const connection_book& b, time_point now)
{
    return now - b.m_demand_at < need_memory ? b.m_demand : 0;
}

bool wants_renewals(const connection_book& b, time_point now)
{
    return now - b.m_needed_at < connection_keep;
}

// A new member's monitor connection is reserved by all others once they have
// applied the epoch.
bool is_monitor_reserved(const share_right& right)
{
    const fleet_epoch& e = right.m_epoch;
    return find_member(right.m_settled ? e.m_members : e.m_former,
                       right.m_self.m_name) != nullptr;
}

// A daemon without a reserved monitor connection uses one of its borrowed units
// for the monitor.
std::uint32_t monitor_units(const connection_book& b)
{
    return b.m_named ? 0 : 1;
}

bool entitlement_ended(const connection_book& b, time_point now)
{
    return now >= b.m_until + drop_grace;
}

// Includes the monitor and busy connections.
std::uint32_t max_units(const connection_book& b, time_point now)
{
    std::uint32_t most =
        entitlement_ended(b, now) ? 0 : units_at(b, b.m_in_force, now);
    most += count_units(b.m_book.m_borrowed);
    for (const ending_loan& l : b.m_ending)
        most += l.m_units;
    return saturating_sub(most, count_units(b.m_book.m_lent));
}

}

connection_book make_connection_book(std::string_view endpoint,
                                     std::uint64_t first_id)
{
    connection_book b;
    b.m_endpoint = endpoint;
    b.m_book.m_next_id = first_id;
    b.m_book.m_kept = reserved_connections;
    b.m_book.m_grace = drop_grace + silence_bound;
    b.m_book.m_always_renews = true;
    return b;
}

void set_connections(connection_book& b, const share_right& right,
                     std::uint32_t limit, time_point now)
{
    b.m_limit = limit;
    b.m_named = is_monitor_reserved(right);
    b.m_by_right = connection_share(right, limit, b.m_endpoint);
    // Open connections may be busy, so a smaller share is enforced only once
    // they fit it.
    b.m_in_force = std::max(b.m_in_force, b.m_by_right);
    b.m_from = valid_from(right);
    b.m_until = right.m_until;
    settle(b, now);
}

void settle(connection_book& b, time_point now)
{
    for (const loan& l : b.m_book.m_borrowed)
        if (l.m_expires <= now)
            b.m_ending.push_back({l.m_units, l.m_expires + drop_grace});
    std::erase_if(b.m_ending,
                  [&](const ending_loan& l)
                  {
                      return l.m_drop_at <= now;
                  });
    expire_loans(b.m_book, now);
    b.m_book.m_base = now < b.m_until ? units_at(b, b.m_by_right, now) : 0;
}

void note_use(connection_book& b, const connection_use& use, time_point now)
{
    const std::uint32_t demand =
        std::min(use.m_busy + use.m_waiting + monitor_units(b), b.m_limit);
    if (demand >= current_demand(b, now))
    {
        b.m_demand = demand;
        b.m_demand_at = now;
    }
    if (demand > own_units(b))
        b.m_needed_at = now;
}

std::uint32_t usable_connections(const connection_book& b, time_point now)
{
    const std::uint32_t held =
        saturating_sub(held_units(b.m_book), monitor_units(b));
    return now < b.m_yield_until ? std::min(held, b.m_yield_to) : held;
}

std::uint32_t most_connections(const connection_book& b, time_point now)
{
    return saturating_sub(max_units(b, now), monitor_units(b));
}

bool may_monitor(const connection_book& b, time_point now)
{
    if (b.m_named)
        return !entitlement_ended(b, now);
    return max_units(b, now) > 0;
}

std::uint32_t wanted_connections(const connection_book& b, time_point now)
{
    const std::uint32_t demand = current_demand(b, now);
    const std::uint32_t held = held_units(b.m_book);
    return saturating_sub(demand, held);
}

bool needs_peers(const connection_book& b, time_point now)
{
    const bool keeps =
        wants_renewals(b, now) && has_loans_to_keep(b.m_book, now);
    return keeps || wanted_connections(b, now) > 0;
}

loan_ask make_ask(const connection_book& b, std::string_view self,
                  std::string_view lender, time_point now)
{
    const double demand = current_demand(b, now);
    return make_ask(
        b.m_book, {wanted_connections(b, now), demand, wants_renewals(b, now)},
        self, lender);
}

loan_answer lend_connections(connection_book& b, const loan_ask& ask,
                             const connection_use& use, time_point now)
{
    settle(b, now);
    const std::uint32_t demand = current_demand(b, now);
    const std::uint32_t held = held_units(b.m_book);
    const std::uint32_t give =
        std::min(units_to_give(held, demand, ask),
                 saturating_sub(held, reserved_connections));
    if (give > 0)
    {
        b.m_yield_to = held - give;
        b.m_yield_until = now + yield_time;
    }
    const std::uint32_t taken =
        std::max(use.m_open + monitor_units(b), reserved_connections);
    return answer_ask(b.m_book, ask, demand, saturating_sub(held, taken), now);
}

std::uint32_t take_connections(connection_book& b, std::string_view lender,
                               const loan_answer& answer, time_point asked_at,
                               time_point now)
{
    settle(b, now);
    return take_loan(b.m_book, lender, answer, asked_at, now);
}

bool keeps_to_right(connection_book& b, const connection_use& use,
                    time_point now)
{
    settle(b, now);
    const bool fits =
        count_units(b.m_book.m_lent) <= b.m_by_right &&
        use.m_open <= saturating_sub(held_units(b.m_book), monitor_units(b));
    if (fits)
        b.m_in_force = b.m_by_right;
    return fits;
}

time_point next_change(const connection_book& b, time_point after)
{
    time_point next = next_expiry(b.m_book);
    const auto consider = [&](time_point at)
    {
        if (at > after)
            next = std::min(next, at);
    };
    consider(b.m_from);
    consider(b.m_until);
    consider(b.m_until + drop_grace);
    for (const ending_loan& l : b.m_ending)
        consider(l.m_drop_at);
    return next;
}

}
