#include <decide/loan.hpp>

#include <algorithm>
#include <cmath>

namespace bluebellspoke
{

namespace
{

void erase_expired(std::vector<loan>& loans, time_point now)
{
    std::erase_if(loans,
                  [&](const loan& l)
                  {
                      return l.m_units == 0 || l.m_expires <= now;
                  });
}

loan* find_loan(std::vector<loan>& loans, std::string_view peer,
                std::uint64_t id)
{
    const auto found = std::find_if(loans.begin(), loans.end(),
                                    [&](const loan& l)
                                    {
                                        return l.m_id == id &&
                                               l.m_peer == peer &&
                                               l.m_passed_by.empty();
                                    });
    return found == loans.end() ? nullptr : &*found;
}

// A lender that holds fewer units for its demand than the borrower doesn't
// renew, so that it gets its units back.
bool may_renew(const share_ledger& b, const loan_request& request,
               double own_demand)
{
    if (b.m_always_renews || own_demand <= 0)
        return true;
    const double own_after = held_units(b) + 1.0;
    return own_after * request.m_demand >= request.m_held * own_demand;
}

time_point lent_until(const share_ledger& b, time_point now)
{
    return now + loan_term + loan_margin + b.m_borrower_grace;
}

loan make_loan(const share_ledger& b, const loan_request& request,
               std::uint64_t id, std::uint32_t units, time_point now)
{
    return {id, request.m_borrower, units, lent_until(b, now), {}};
}

// When the share has become smaller than what is lent, the newest loans aren't
// renewed.
bool fits_base(const share_ledger& b, const loan& l)
{
    std::uint32_t units = 0;
    for (const loan& other : b.m_lent)
        if (other.m_id <= l.m_id)
            units += other.m_units;
    return units <= b.m_base;
}

// The borrower may have passed on units that it no longer has. Their new
// borrower uses them until the loan's current expiry at most, so they stay lent
// until then.
void renew_loan(share_ledger& b, loan& l, std::uint32_t units, time_point now)
{
    loan passed = l;
    passed.m_units = l.m_units - units;
    l.m_units = units;
    l.m_expires = lent_until(b, now);
    if (passed.m_units > 0)
        b.m_lent.push_back(std::move(passed)); // This invalidates `l`.
}

void renew(share_ledger& b, const loan_request& request, loan_answer& answer,
           time_point now)
{
    for (const loan_part& renewal : request.m_renewals)
    {
        loan* l = find_loan(b.m_lent, request.m_borrower, renewal.m_id);
        if (l == nullptr || (b.m_always_renews && !fits_base(b, *l)))
            continue;
        const std::uint32_t units = std::min(l->m_units, renewal.m_units);
        renew_loan(b, *l, units, now);
        answer.m_renewed.push_back({renewal.m_id, units});
    }
}

// Of the records with the same id, the one that expires first has the units
// that were passed on.
loan* find_passed_on(std::vector<loan>& loans, const loan_claim& claim)
{
    loan* found = nullptr;
    for (loan& l : loans)
    {
        const bool fits = l.m_id == claim.m_id &&
                          l.m_peer == claim.m_passed_by &&
                          l.m_units >= claim.m_units;
        if (fits && (found == nullptr || l.m_expires < found->m_expires))
            found = &l;
    }
    return found;
}

// The former borrower stopped using these units before it passed them on, so
// the sum of lent units stays the same.
void grant_claims(share_ledger& b, const loan_request& request,
                  loan_answer& answer, time_point now)
{
    for (const loan_claim& claim : request.m_claims)
    {
        loan* l = find_passed_on(b.m_lent, claim);
        if (l == nullptr)
            continue;
        l->m_units -= claim.m_units;
        const std::uint64_t id = b.m_next_id++;
        b.m_lent.push_back(make_loan(b, request, id, claim.m_units, now));
        answer.m_claimed.push_back({claim, id});
    }
}

std::uint32_t give_back(share_ledger& b, const loan_request& request,
                        loan_answer& answer, std::uint32_t units)
{
    std::uint32_t left = units;
    for (loan& l : b.m_borrowed)
    {
        if (l.m_peer != request.m_borrower || !l.m_passed_by.empty() ||
            left == 0)
            continue;
        const std::uint32_t part = std::min(l.m_units, left);
        l.m_units -= part;
        left -= part;
        answer.m_returned.push_back({l.m_id, part});
    }
    return units - left;
}

// Units that were passed on once aren't passed on again before their lender
// knows who has them.
std::uint32_t pass_on(share_ledger& b, const loan_request& request,
                      loan_answer& answer, std::uint32_t units, time_point now)
{
    std::uint32_t left = units;
    for (loan& l : b.m_borrowed)
    {
        if (l.m_peer == request.m_borrower || !l.m_passed_by.empty() ||
            left == 0)
            continue;
        const std::uint32_t part = std::min(l.m_units, left);
        l.m_units -= part;
        left -= part;
        answer.m_passed.push_back({l.m_peer, l.m_id, part, l.m_expires - now});
    }
    return units - left;
}

std::uint32_t lendable_units(const share_ledger& b) noexcept
{
    const std::uint32_t bound = count_units(b.m_lent) + b.m_reserved;
    return b.m_base > bound ? b.m_base - bound : 0;
}

void lend(share_ledger& b, const loan_request& request, loan_answer& answer,
          std::uint32_t units, time_point now)
{
    if (units == 0)
        return;
    answer.m_id = b.m_next_id++;
    answer.m_units = units;
    b.m_lent.push_back(make_loan(b, request, answer.m_id, units, now));
}

}

std::uint32_t count_units(std::span<const loan> loans) noexcept
{
    std::uint32_t units = 0;
    for (const loan& l : loans)
        units += l.m_units;
    return units;
}

std::uint32_t held_units(const share_ledger& b) noexcept
{
    const std::uint32_t all = b.m_base + count_units(b.m_borrowed);
    const std::uint32_t lent = count_units(b.m_lent);
    return all > lent ? all - lent : 0;
}

bool covers_loans(const share_ledger& b) noexcept
{
    return count_units(b.m_lent) <= b.m_base;
}

void expire_loans(share_ledger& b, time_point now)
{
    erase_expired(b.m_lent, now);
    erase_expired(b.m_borrowed, now);
}

time_point next_expiry(const share_ledger& b) noexcept
{
    time_point first = time_point::max();
    for (const loan& l : b.m_lent)
        first = std::min(first, l.m_expires);
    for (const loan& l : b.m_borrowed)
        first = std::min(first, l.m_expires);
    return first;
}

// Solves (own - x) / own_demand = (held + x) / demand for x.
std::uint32_t units_to_give(std::uint32_t own, double own_demand,
                            const loan_request& request) noexcept
{
    if (request.m_demand <= 0 || own == 0)
        return 0;
    const double even = (own * request.m_demand - request.m_held * own_demand) /
                        (own_demand + request.m_demand);
    if (even <= 0)
        return 0;
    // Rounds half a unit up: a daemon without units could otherwise never get
    // one.
    const auto units = static_cast<std::uint32_t>(std::floor(even + 0.5));
    return std::min({units, own, request.m_wanted});
}

std::uint32_t offered_units(const loan_answer& a) noexcept
{
    std::uint32_t units = a.m_units;
    for (const loan_part& r : a.m_returned)
        units += r.m_units;
    for (const passed_loan& p : a.m_passed)
        units += p.m_units;
    return units;
}

loan_answer answer_loan_request(share_ledger& b, const loan_request& request,
                                double own_demand, std::uint32_t free,
                                time_point now)
{
    expire_loans(b, now);
    loan_answer answer;
    grant_claims(b, request, answer, now);
    if (may_renew(b, request, own_demand))
        renew(b, request, answer, now);
    std::uint32_t left =
        std::min(units_to_give(held_units(b), own_demand, request), free);
    left -= give_back(b, request, answer, left);
    const std::uint32_t own = std::min(left, lendable_units(b));
    lend(b, request, answer, own, now);
    pass_on(b, request, answer, left - own, now);
    return answer;
}

namespace
{

void apply_renewals(share_ledger& b, std::string_view lender,
                    const loan_answer& answer, time_point asked_at)
{
    for (const loan_part& kept : answer.m_renewed)
    {
        loan* l = find_loan(b.m_borrowed, lender, kept.m_id);
        if (l == nullptr)
            continue;
        l->m_units = std::min(l->m_units, kept.m_units);
        l->m_expires = std::max(l->m_expires, asked_at + loan_term);
    }
}

// A claim that was sent twice may be granted twice. Only one of the grants is
// used: the other one covers units that another daemon still has.
loan* find_unclaimed(std::vector<loan>& loans, std::string_view lender,
                     const loan_claim& claim)
{
    const auto found =
        std::find_if(loans.begin(), loans.end(),
                     [&](const loan& l)
                     {
                         return l.m_id == claim.m_id && l.m_peer == lender &&
                                l.m_passed_by == claim.m_passed_by &&
                                l.m_units == claim.m_units;
                     });
    return found == loans.end() ? nullptr : &*found;
}

void apply_granted_claims(share_ledger& b, std::string_view lender,
                          const loan_answer& answer, time_point asked_at)
{
    for (const claimed_loan& c : answer.m_claimed)
    {
        loan* l = find_unclaimed(b.m_borrowed, lender, c.m_claim);
        if (l != nullptr)
            *l = {c.m_id,
                  std::string(lender),
                  c.m_claim.m_units,
                  asked_at + loan_term,
                  {}};
    }
}

void add_renewals(loan_request& request, const share_ledger& b,
                  std::string_view lender)
{
    for (const loan& l : b.m_borrowed)
    {
        if (l.m_peer != lender)
            continue;
        if (l.m_passed_by.empty())
            request.m_renewals.push_back({l.m_id, l.m_units});
        else
            request.m_claims.push_back({l.m_id, l.m_passed_by, l.m_units});
    }
}

}

std::uint32_t apply_loan_answer(share_ledger& b, std::string_view lender,
                                const loan_answer& answer, time_point asked_at,
                                time_point now)
{
    const std::uint32_t before = held_units(b);
    apply_renewals(b, lender, answer, asked_at);
    apply_granted_claims(b, lender, answer, asked_at);
    for (const loan_part& r : answer.m_returned)
        if (loan* l = find_loan(b.m_lent, lender, r.m_id))
            l->m_units -= std::min(l->m_units, r.m_units);
    if (answer.m_units > 0)
        b.m_borrowed.push_back({answer.m_id,
                                std::string(lender),
                                answer.m_units,
                                asked_at + loan_term,
                                {}});
    for (const passed_loan& p : answer.m_passed)
        b.m_borrowed.push_back({p.m_id, p.m_lender, p.m_units,
                                asked_at + p.m_time_left, std::string(lender)});
    expire_loans(b, now);
    const std::uint32_t after = held_units(b);
    return after > before ? after - before : 0;
}

loan_request make_loan_request(const share_ledger& b, const loan_need& need,
                               std::string_view self, std::string_view lender)
{
    loan_request request;
    request.m_borrower = self;
    request.m_wanted = need.m_wanted;
    request.m_held = held_units(b);
    request.m_demand = need.m_demand;
    if (need.m_renew_loans)
        add_renewals(request, b, lender);
    return request;
}

bool has_loans_to_renew(const share_ledger& b, time_point now) noexcept
{
    return std::any_of(b.m_borrowed.begin(), b.m_borrowed.end(),
                       [&](const loan& l)
                       {
                           return !l.m_passed_by.empty() ||
                                  l.m_expires - now < loan_term / 2;
                       });
}

}
