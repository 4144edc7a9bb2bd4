#ifndef BLUEBELLSPOKE_DAEMON_DAEMON_CHART_HPP
#define BLUEBELLSPOKE_DAEMON_DAEMON_CHART_HPP

#include <filesystem>
#include <string_view>

#include <chart/chart.hpp>

namespace bluebellspoke
{

enum class daemon_state : std::uint8_t
{
    starting,
    serving,
    out,
    leaving,
    draining,
    cutting,
    stopped,
};

enum class daemon_event : std::uint8_t
{
    configured,
    zone_taken_out,
    zone_put_back,
    drain_requested,
    grace_expired,
    drained,
    drain_expired,
};

enum class daemon_action : std::uint8_t
{
    begin_grace,
    begin_drain,
    refuse_remaining,
    stop_tasks,
};

using daemon_chart = typed_chart<daemon_state, daemon_event, daemon_action>;

/// Reads daemon.scxml. Throws chart_error.
daemon_chart load_daemon_chart(const std::filesystem::path& folder);
std::string_view to_string(daemon_state state) noexcept;

}

#endif
