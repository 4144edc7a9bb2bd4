#include <decide/ask_round.hpp>

#include <algorithm>
#include <utility>

namespace bluebellspoke
{

namespace
{

constexpr std::size_t asked_at_once = 8; ///< Peers in one round.

bool has_loan_of(const share_book& b, std::string_view lender)
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

std::vector<std::string> lenders_to_ask(const share_right& right,
                                        std::string_view resource,
                                        const share_book& book, bool wants)
{
    std::vector<std::string> asked;
    for (std::string& lender : lenders_in_order(right, resource))
    {
        const bool more = wants && asked.size() < asked_at_once;
        if (more || has_loan_of(book, lender))
            asked.push_back(std::move(lender));
    }
    return asked;
}

}
