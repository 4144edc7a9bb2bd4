#ifndef BLUEBELLSPOKE_DECIDE_ASK_ROUND_HPP
#define BLUEBELLSPOKE_DECIDE_ASK_ROUND_HPP

#include <string>
#include <string_view>
#include <vector>

#include <decide/loan.hpp>
#include <decide/share.hpp>

namespace bluebellspoke
{

/// Schedules the rounds of loan requests that a daemon sends to its peers for
/// one resource.
struct ask_round
{
    time_point m_next{};
    duration m_pause{}; ///< Delay after the last round; zero after a
                        ///< round that obtained units.
};

bool is_due(const ask_round& r, time_point now) noexcept;
/// Schedules the next round with exponential backoff: the delay doubles each
/// time, from min_ask_interval up to max_ask_interval.
void begin_round(ask_round& r, time_point now) noexcept;

/// Selects the peers to send a request to: every lender of a current loan and,
/// when `wants_more` is set, a few further peers. The order differs by daemon,
/// so that not all daemons ask the same peer first.
std::vector<std::string> lenders_to_ask(const share_right& entitlement,
                                        std::string_view resource,
                                        const share_book& ledger,
                                        bool wants_more);

}

#endif
