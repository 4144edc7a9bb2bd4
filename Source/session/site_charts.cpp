#include <session/site_charts.hpp>

#include <array>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 4> watch_states{"listing", "watching",
                                                       "relayed", "resting"};
constexpr std::array<std::string_view, 7> watch_events{
    "listed", "changed", "history_gone", "failed",
    "rested", "relayed", "unrelayed"};
constexpr std::array<std::string_view, 3> watch_actions{"read_all", "watch",
                                                        "rest"};
constexpr std::array<std::string_view, 6> takeover_states{
    "led", "touching", "recording", "waiting", "ordering", "confirming"};
constexpr std::array<std::string_view, 10> takeover_events{
    "duty_lost",  "doubted", "touched",    "given_up",   "recorded",
    "lease_over", "ordered", "unanswered", "impossible", "leads"};
constexpr std::array<std::string_view, 8> takeover_actions{
    "touch", "record",  "resume",   "wait",
    "order", "confirm", "announce", "let_go"};
constexpr std::array<std::string_view, 4> cell_states{"single", "following",
                                                      "standing", "keeping"};
constexpr std::array<std::string_view, 6> cell_events{
    "joined", "left", "unheard", "outranked", "chosen", "lapsed"};
constexpr std::array<std::string_view, 2> cell_actions{"keep", "yield"};

}

std::string_view to_string(takeover_state state) noexcept
{
    return takeover_states[static_cast<std::size_t>(state)];
}

site_charts load_site_charts(const std::filesystem::path& folder)
{
    return {
        load_session_charts(folder),
        {load_chart(folder,
                    {"watch", watch_states, watch_events, watch_actions})},
        {load_chart(folder, {"takeover", takeover_states, takeover_events,
                             takeover_actions})},
        {load_chart(folder, {"cell", cell_states, cell_events, cell_actions})}};
}

}
