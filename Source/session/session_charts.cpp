#include <session/session_charts.hpp>

#include <array>
#include <string_view>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 5> session_states{
    "starting", "idle", "open", "failed", "closed"};
constexpr std::array<std::string_view, 5> session_events{
    "left", "started", "begun", "ended", "broken"};
constexpr std::array<std::string_view, 6> link_states{
    "dialing", "idle", "running", "pinned", "leaving", "closed"};
constexpr std::array<std::string_view, 6> link_events{
    "lost", "greeted", "sent", "answered", "kept", "rolled_back"};

}

session_charts load_session_charts(const std::filesystem::path& folder)
{
    return {
        {load_chart(folder, {"session", session_states, session_events, {}})},
        {load_chart(folder, {"link", link_states, link_events, {}})}};
}

}
