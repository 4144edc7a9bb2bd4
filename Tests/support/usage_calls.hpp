#ifndef BLUEBELLSPOKE_SUPPORT_USAGE_CALLS_HPP
#define BLUEBELLSPOKE_SUPPORT_USAGE_CALLS_HPP

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <support/site.hpp>

namespace bluebellspoke::support
{

/// Time within which holders may not alternate; short, so that a test needn't
/// wait long for a successor.
inline constexpr double quick_lease_ms = 500;
/// Bounds of a deployment that reports each second.
inline constexpr std::array quick_usage_bounds{
    site_bound{"report-window-s", 1}, site_bound{"usage-off", 0.05},
    site_bound{"usage-delay-s", 6},
    site_bound{"lease-duration-ms", quick_lease_ms}};

/// What a service would hold against the calls that it received; empty:
/// nothing.
std::string violations_of(const nlohmann::json& calls);
/// The reports that were accepted, by window.
std::map<std::uint64_t, nlohmann::json>
accepted_reports(const nlohmann::json& calls);
/// Requests of a workspace in all accepted reports.
std::uint64_t reported_requests(const site& s, const std::string& workspace);
/// True if a window between the first and the last accepted one is missing.
bool has_gap(const nlohmann::json& calls);
/// The daemon that holds the usage duty, or the number of daemons.
std::size_t usage_holder(const site& s, std::size_t daemons);

}

#endif
