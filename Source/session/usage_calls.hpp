#ifndef BLUEBELLSPOKE_SESSION_USAGE_CALLS_HPP
#define BLUEBELLSPOKE_SESSION_USAGE_CALLS_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <decide/usage_report.hpp>

namespace bluebellspoke
{

/// A usage report on its way to the platform. The bytes that are sent follow
/// from the window and the counts alone.
struct usage_call
{
    window_id m_window = 0;
    usage_counts m_counts;
    std::string m_holder;      ///< The node that holds the usage duty.
    std::uint64_t m_token = 0; ///< The holder's fencing token.
};

/// The result of sending a usage report.
enum class usage_call_result : std::uint8_t
{
    accepted,
    throttled,   ///< Too many calls a second; it had no effect.
    refused,     ///< The same report would be refused again.
    unavailable, ///< The service can't take it now.
    unknown,     ///< No answer; it may have been accepted, or be later.
};

std::string_view to_string(usage_call_result result) noexcept;

using usage_callback = std::function<void(usage_call_result)>;
/// Sends one report, and calls back with its result.
using send_usage_function =
    std::function<void(const usage_call&, usage_callback)>;

}

#endif
