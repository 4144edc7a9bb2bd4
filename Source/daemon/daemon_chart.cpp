#include <daemon/daemon_chart.hpp>

#include <array>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 4> states{"starting", "serving",
                                                 "draining", "stopped"};
constexpr std::array<std::string_view, 4> events{"configured", "drain_asked",
                                                 "drained", "drain_expired"};
constexpr std::array<std::string_view, 2> actions{"begin_drain", "stop_tasks"};

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
