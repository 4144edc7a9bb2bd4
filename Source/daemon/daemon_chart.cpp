#include <daemon/daemon_chart.hpp>

#include <array>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 7> states{
    "starting", "serving", "out", "leaving", "draining", "cutting", "stopped"};
constexpr std::array<std::string_view, 7> events{
    "configured",    "zone_taken_out", "zone_put_back", "drain_requested",
    "grace_expired", "drained",        "drain_expired"};
constexpr std::array<std::string_view, 4> actions{
    "begin_grace", "begin_drain", "refuse_remaining", "stop_tasks"};

}

daemon_chart load_daemon_chart(const std::filesystem::path& folder)
{
    return {load_chart(folder, {"daemon", states, events, actions})};
}

std::string_view to_string(daemon_state state) noexcept
{
    return states[static_cast<std::size_t>(state)];
}

}
