#include <decide/connection_budget.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

// A statement and a transaction or two of one process may run at an endpoint
// side by side.
constexpr std::uint32_t max_scarce_connections = 3;
// Parts of an endpoint's connections from which processes open fewer of them.
// The count is up to a second old, and a promotion moves the statements of a
// whole group to one endpoint, so the last tenth stays free.
constexpr double crowded_part = 0.5;
constexpr double scarce_part = 0.75;
constexpr double full_part = 0.9;
// While there is room, connections outlast the pause of a typical session
// between two statements.
constexpr std::chrono::milliseconds roomy_idle_timeout{3000};
constexpr std::chrono::milliseconds crowded_idle_timeout{500};
constexpr std::chrono::milliseconds scarce_idle_timeout{100};

std::uint32_t scarce_limit(double used) noexcept
{
    if (used < crowded_part)
        return max_scarce_connections;
    if (used < scarce_part)
        return 2;
    return used < full_part ? 1 : 0;
}

duration idle_timeout(double used) noexcept
{
    if (used < crowded_part)
        return roomy_idle_timeout;
    return used < scarce_part ? crowded_idle_timeout : scarce_idle_timeout;
}

}

connection_budget choose_connection_budget(std::uint32_t limit,
                                           std::size_t processes,
                                           std::uint32_t open) noexcept
{
    const std::uint32_t usable =
        limit > reserved_connections ? limit - reserved_connections : limit;
    const double even_share =
        static_cast<double>(usable) /
        static_cast<double>(std::max<std::size_t>(1, processes));
    if (usable == 0)
        return {1, 0, crowded_idle_timeout}; // The limit isn't known yet.
    const double used = static_cast<double>(open) / usable;
    connection_budget budget;
    const auto share =
        static_cast<std::uint32_t>(even_share * connection_overcommit);
    budget.m_limit = share >= 2 ? share : scarce_limit(used);
    // After all VMs lose power, endpoints count the old connections for some
    // seconds, and the new ones have to fit beside them.
    budget.m_retained = std::min(max_retained_connections,
                                 static_cast<std::uint32_t>(even_share / 2));
    budget.m_idle_timeout = idle_timeout(used);
    return budget;
}

duration pause_after_success(duration last) noexcept
{
    return last / 2;
}

duration next_full_pause(duration last, double random) noexcept
{
    const duration pause =
        std::clamp<duration>(last * 2, min_full_pause, max_full_pause);
    constexpr double least = 0.5;
    return std::chrono::duration_cast<duration>(pause * (least + random));
}

}
