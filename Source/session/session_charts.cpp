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

}

session_charts load_session_charts(const std::filesystem::path& folder)
{
    return {
        {load_chart(folder, {"session", session_states, session_events, {}})},
        {load_chart(folder, {"link", link_states, link_events, {}})}};
}

}
