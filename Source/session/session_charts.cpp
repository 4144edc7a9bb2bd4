#include <session/session_charts.hpp>

#include <array>
#include <string_view>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 5> session_states{
    "starting", "idle", "in_transaction", "in_failed_transaction", "closed"};
constexpr std::array<std::string_view, 5> session_events{
    "disconnected", "started", "transaction_begun", "transaction_finished",
    "transaction_failed"};
constexpr std::array<std::string_view, 6> link_states{
    "connecting", "idle", "running", "pinned", "rolling_back", "closed"};
constexpr std::array<std::string_view, 6> link_events{
    "lost", "connected", "sent", "answered", "pinned", "rollback_sent"};
constexpr std::array<std::string_view, 5> home_link_states{
    "opening", "at_rest", "running", "in_transaction", "closed"};
constexpr std::array<std::string_view, 6> home_link_events{
    "lost", "accepted", "sent", "answered", "kept_open", "rolled_back"};

}

session_charts load_session_charts(const std::filesystem::path& folder)
{
    return {
        {load_chart(folder, {"session", session_states, session_events, {}})},
        {load_chart(folder, {"link", link_states, link_events, {}})},
        {load_chart(folder,
                    {"home_link", home_link_states, home_link_events, {}})}};
}

}
