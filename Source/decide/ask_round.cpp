#include <decide/ask_round.hpp>

#include <algorithm>
#include <utility>

namespace bluebellspoke
{

namespace
{

constexpr std::size_t max_peers_per_round = 8; ///< Except lenders of loans.

bool has_loan_from(const share_book& b, std::string_view lender)
{
    return std::any_of(b.m_borrowed.begin(), b.m_borrowed.end(),
                       [&](const loan& l)
                       {
                           return l.m_peer == lender;
                       });
}

}

bool is_due(const ask_round& r, time_point now) noexcept
{
    return now >= r.m_next;
}

void begin_round(ask_round& r, time_point now) noexcept
{
    r.m_pause =
        std::clamp<duration>(2 * r.m_pause, ask_pause, longest_ask_pause);
    r.m_next = now + r.m_pause;
}

std::vector<std::string> lenders_to_ask(const share_right& entitlement,
                                        std::string_view resource,
                                        const share_book& ledger,
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
