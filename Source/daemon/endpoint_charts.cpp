#include <daemon/endpoint_charts.hpp>

#include <array>
#include <span>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 5> endpoint_states{
    "joining", "serving", "leaving", "returning", "gone"};
constexpr std::array<std::string_view, 5> endpoint_events{
    "reached", "taken_out", "put_back", "ramped_up", "removed"};
constexpr std::array<std::string_view, 1> endpoint_actions{"begin_ramp_up"};

constexpr std::array<std::string_view, 4> zone_states{"in", "going_out", "out",
                                                      "returning"};
constexpr std::array<std::string_view, 4> zone_events{"taken_out", "emptied",
                                                      "put_back", "ramped_up"};

}

endpoint_charts load_endpoint_charts(const std::filesystem::path& folder)
{
    return {{load_chart(folder, {"endpoint", endpoint_states, endpoint_events,
                                 endpoint_actions})},
            {load_chart(folder, {"zone", zone_states, zone_events, {}})}};
}

std::string_view to_string(endpoint_lifecycle state) noexcept
{
    return endpoint_states[static_cast<std::size_t>(state)];
}

std::string_view to_string(zone_lifecycle state) noexcept
{
    return zone_states[static_cast<std::size_t>(state)];
}

}
