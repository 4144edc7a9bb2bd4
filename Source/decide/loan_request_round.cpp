#include <decide/loan_request_round.hpp>

#include <algorithm>
#include <utility>

namespace bluebellspoke
{

namespace
{

constexpr std::size_t max_peers_per_round = 8; ///< Except lenders of loans.

bool has_loan_from(const share_ledger& b, std::string_view lender)
{
    return std::any_of(b.m_borrowed.begin(), b.m_borrowed.end(),
                       [&](const loan& l)
                       {
                           return l.m_peer == lender;
                       });
}

}

bool is_due(const loan_request_round& r, time_point now) noexcept
{
    return now >= r.m_next_action_at;
}

void schedule_next_round(loan_request_round& r, time_point now) noexcept
{
    r.m_backoff = std::clamp<duration>(2 * r.m_backoff, min_ask_interval,
                                       max_ask_interval);
    r.m_next_action_at = now + r.m_backoff;
}

std::vector<std::string> select_lenders(const share_entitlement& entitlement,
                                        std::string_view resource,
                                        const share_ledger& ledger,
                                        bool wants_more)
{
    std::vector<std::string> selected;
    for (std::string& lender : lenders_in_order(entitlement, resource))
    {
        const bool add = wants_more && selected.size() < max_peers_per_round;
        if (add || has_loan_from(ledger, lender))
            selected.push_back(std::move(lender));
    }
    return selected;
}

}
