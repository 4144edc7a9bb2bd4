#ifndef BLUEBELLSPOKE_DECIDE_LOAD_HOME_VERDICT_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_HOME_VERDICT_HPP

#include <cstdint>
#include <string_view>

namespace bluebellspoke
{

/// Why a session's next operation runs at another process, or at this one.
enum class home_verdict : std::uint8_t
{
    passed_on,      ///< Its home is another process.
    is_home,        ///< This process is its home.
    relayed,        ///< Another process has passed it on to this one.
    region,         ///< The route or the workspace doesn't allow the region.
    not_needed,     ///< Each process may have connections of its own.
    none_available, ///< The group has no home, or all of them are avoided.
    congested,      ///< Too much waits to be sent to the home.
};

constexpr std::string_view to_string(home_verdict verdict) noexcept
{
    switch (verdict)
    {
    case home_verdict::passed_on:
        return "passed on";
    case home_verdict::is_home:
        return "is the home";
    case home_verdict::relayed:
        return "relayed";
    case home_verdict::region:
        return "region";
    case home_verdict::not_needed:
        return "not needed";
    case home_verdict::none_available:
        return "none available";
    case home_verdict::congested:
        return "congested";
    }
    return "not needed";
}

/// Where a session's next operation runs.
struct home_decision
{
    home_verdict m_verdict = home_verdict::not_needed;
    std::string_view m_home; ///< Empty unless it runs at another process.
};

}

#endif
