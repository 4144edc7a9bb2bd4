#ifndef BLUEBELLSPOKE_LOAD_ARRIVALS_HPP
#define BLUEBELLSPOKE_LOAD_ARRIVALS_HPP

#include <chrono>
#include <cstdint>
#include <vector>

#include <load/experiment.hpp>

namespace bluebellspoke::load
{

/// One request as the experiment intends it.
struct arrival
{
    std::chrono::nanoseconds m_at{}; ///< After the start.
    std::size_t m_workspace = 0;
    std::size_t m_session = 0;
    bool m_write = false;
};

/// Every arrival in order of time; the same seed gives the same ones.
std::vector<arrival> draw_arrivals(const experiment& e);

}

#endif
