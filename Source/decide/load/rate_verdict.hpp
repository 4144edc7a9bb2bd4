#ifndef BLUEBELLSPOKE_DECIDE_LOAD_RATE_VERDICT_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_RATE_VERDICT_HPP

#include <cstdint>
#include <string_view>

namespace bluebellspoke
{

/// What the rate of its workspace means for an operation that arrives.
enum class rate_verdict : std::uint8_t
{
    admitted,
    asks_leader,       ///< It waits for a token of the cell leader.
    waits,             ///< A token is expected in time.
    refused,           ///< No token comes in time.
    unknown_workspace, ///< It is refused, as its workspace has no rate.
};

constexpr std::string_view to_string(rate_verdict verdict) noexcept
{
    switch (verdict)
    {
    case rate_verdict::admitted:
        return "admitted";
    case rate_verdict::asks_leader:
        return "asks the cell leader";
    case rate_verdict::waits:
        return "waits";
    case rate_verdict::refused:
        return "refused";
    case rate_verdict::unknown_workspace:
        return "unknown workspace";
    }
    return "admitted";
}

}

#endif
