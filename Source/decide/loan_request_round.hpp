#ifndef BLUEBELLSPOKE_DECIDE_LOAN_REQUEST_ROUND_HPP
#define BLUEBELLSPOKE_DECIDE_LOAN_REQUEST_ROUND_HPP

#include <string>
#include <string_view>
#include <vector>

#include <decide/loan.hpp>
#include <decide/share.hpp>

namespace bluebellspoke
{

/// Schedules the rounds of loan requests that a daemon sends to its peers for
/// one resource.
struct loan_request_round
{
    time_point m_next_action_at{};
    duration m_backoff{}; ///< Delay after the last round; zero after a
                          ///< round that obtained units.
};

bool is_due(const loan_request_round& r, time_point now) noexcept;
/// Schedules the next round with exponential backoff: the delay doubles each
/// time, from min_ask_interval up to max_ask_interval.
void schedule_next_round(loan_request_round& r, time_point now) noexcept;

/// Selects the peers to send a request to: every lender of a current loan and,
/// when `wants_more` is set, a few further peers. The order differs by daemon,
/// so that not all daemons ask the same peer first.
std::vector<std::string> select_lenders(const share_entitlement& entitlement,
                                        std::string_view resource,
                                        const share_ledger& ledger,
                                        bool wants_more);

}

#endif
