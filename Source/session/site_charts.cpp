#include <session/site_charts.hpp>

#include <array>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 5> watch_states{
    "listing", "watching", "relayed", "pausing", "backing_off"};
constexpr std::array<std::string_view, 8> watch_events{
    "listed", "changed",       "changed_in_burst", "history_gone",
    "failed", "timer_expired", "relayed",          "relay_lost"};
constexpr std::array<std::string_view, 4> watch_actions{"read_all", "watch",
                                                        "pause", "back_off"};
constexpr std::array<std::string_view, 7> takeover_states{
    "led",       "touching", "recording", "waiting",
    "reviewing", "ordering", "confirming"};
constexpr std::array<std::string_view, 12> takeover_events{
    "duty_lost",         "primary_suspected", "fenced",
    "given_up",          "recorded",          "leases_expired",
    "ordered",           "timed_out",         "successor_not_running",
    "primary_confirmed", "fence_lost",        "members_confirmed"};
constexpr std::array<std::string_view, 10> takeover_actions{
    "fence",   "record",   "resume",       "wait",        "order",
    "confirm", "announce", "end_takeover", "renew_fence", "list_members"};
constexpr std::array<std::string_view, 4> cell_states{"no_cell", "follower",
                                                      "candidate", "leader"};
constexpr std::array<std::string_view, 6> cell_events{
    "joined", "left", "leader_silent", "outranked", "elected", "votes_lapsed"};
constexpr std::array<std::string_view, 2> cell_actions{"start_leading",
                                                       "stop_leading"};
constexpr std::array<std::string_view, 5> restart_check_states{
    "waiting", "first_round", "reading", "second_round", "over"};
constexpr std::array<std::string_view, 5> restart_check_events{
    "due", "complete", "same_members", "unanswered", "refuted"};
constexpr std::array<std::string_view, 4> restart_check_actions{
    "ask", "read_members", "ask_again", "stand_for_election"};
constexpr std::array<std::string_view, 5> usage_report_states{
    "without_duty", "collecting", "recording", "sending", "pausing"};
constexpr std::array<std::string_view, 8> usage_report_events{
    "duty_gained", "duty_gained_unsent", "duty_lost", "window_due", "recorded",
    "settled",     "unsettled",          "pause_over"};
constexpr std::array<std::string_view, 4> usage_report_actions{
    "record", "send_report", "finish", "pause"};

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
        {load_chart(folder, {"cell", cell_states, cell_events, cell_actions})},
        {load_chart(folder, {"restart_check", restart_check_states,
                             restart_check_events, restart_check_actions})},
        {load_chart(folder, {"usage_report", usage_report_states,
                             usage_report_events, usage_report_actions})}};
}

}
