#ifndef BLUEBELLSPOKE_DECIDE_ASK_ROUND_HPP
#define BLUEBELLSPOKE_DECIDE_ASK_ROUND_HPP

#include <string>
#include <string_view>
#include <vector>

#include <decide/loan.hpp>
#include <decide/share.hpp>

namespace bluebellspoke
{

/// When a daemon asks its peers about one resource again.
struct ask_round
{
    time_point m_next{};
    duration m_pause{}; ///< After the last round; zero once one gained.
};

bool is_due(const ask_round& r, time_point now) noexcept;
/// Puts the next round off, twice as far as the last time, from ask_pause up to
/// longest_ask_pause.
void begin_round(ask_round& r, time_point now) noexcept;

/// Whom to ask: those whose loans the daemon has, and when it wants more, a few
/// others, in the order that differs by daemon.
std::vector<std::string> lenders_to_ask(const share_right& right,
                                        std::string_view resource,
                                        const share_book& book, bool wants);

}

#endif
