#include <decide/time_needed.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

constexpr int mean_memory = 16;  ///< Requests.
constexpr int least_memory = 64; ///< Requests until the least is forgotten.

}

void note_served(time_needed& n, duration took)
{
    if (n.m_mean == duration::zero())
    {
        n.m_mean = took;
        n.m_least = took;
        return;
    }
    n.m_mean += (took - n.m_mean) / mean_memory;
    const duration faded = n.m_least + (n.m_mean - n.m_least) / least_memory;
    n.m_least = std::min(took, faded);
}

bool is_hopeless(const time_needed& n, duration left) noexcept
{
    return left < n.m_least;
}

}
