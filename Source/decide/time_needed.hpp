#ifndef BLUEBELLSPOKE_DECIDE_TIME_NEEDED_HPP
#define BLUEBELLSPOKE_DECIDE_TIME_NEEDED_HPP

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Time from a request's hand-over to its outcome, lately. Zero: unknown.
struct time_needed
{
    duration m_mean{};
    duration m_least{};
};

/// Counts one request that was served.
void note_served(time_needed& n, duration took);
/// True when not even the quickest of late would be served in what is left.
bool is_hopeless(const time_needed& n, duration left) noexcept;

}

#endif
