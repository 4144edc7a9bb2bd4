#ifndef BLUEBELLSPOKE_LOAD_DIRECT_COMPARISON_HPP
#define BLUEBELLSPOKE_LOAD_DIRECT_COMPARISON_HPP

#include <chrono>
#include <cstddef>

#include <nlohmann/json.hpp>

namespace bluebellspoke::load
{

struct comparison_options
{
    std::size_t m_callers = 64; ///< Each waits for its answer.
    std::chrono::seconds m_each{4};
    unsigned m_rounds = 3; ///< Direct and through a daemon in turn.
    unsigned m_service_us = 0;
    std::vector<std::string> m_daemon_flags;
};

/// Reads straight at an endpoint stand-in, and the same through a daemon:
/// statements a second and latency quantiles of each, their ratios, and what a
/// statement costs the daemon's tasks in processor time.
nlohmann::json compare_with_direct(const comparison_options& options);

}

#endif
