#include <daemon/pool_charts.hpp>

#include <array>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 5> request_states{
    "queued", "parked", "running", "confirming", "ended"};
constexpr std::array<std::string_view, 11> request_events{
    "dispatched", "parked", "resumed", "answered",  "committed", "confirmed",
    "retried",    "failed", "expired", "abandoned", "revoked"};
constexpr std::array<std::string_view, 10> request_actions{
    "deliver",         "await_replica",  "await_majority",     "stop_waiting",
    "requeue",         "refuse_not_run", "refuse_as_reported", "refuse_unknown",
    "drop_connection", "forget"};

constexpr std::array<std::string_view, 4> transaction_states{"open", "busy",
                                                             "ending", "ended"};
constexpr std::array<std::string_view, 6> transaction_events{
    "statement_sent", "statement_done", "end_sent",
    "end_done",       "lost",           "expired"};
constexpr std::array<std::string_view, 3> transaction_actions{
    "release_connection", "drop_connection", "forget"};

constexpr std::array<std::string_view, 7> group_states{
    "led",     "suspected", "claiming", "asking",
    "fencing", "promoting", "yielded"};
constexpr std::array<std::string_view, 11> group_events{
    "primary_missed", "primary_found", "election_reset",   "turn_reached",
    "lease_granted",  "lease_denied",  "still_no_primary", "elected",
    "superseded",     "shutting_down", "no_other_daemon"};
constexpr std::array<std::string_view, 6> group_actions{
    "await_turn",  "claim_lease",  "ask_again",
    "send_fences", "send_promote", "release_lease"};

}

std::string_view to_string(group_state state) noexcept
{
    return group_states[static_cast<std::size_t>(state)];
}

pool_charts load_pool_charts(const std::filesystem::path& folder)
{
    return {load_connection_chart(folder),
            {load_chart(folder, {"request", request_states, request_events,
                                 request_actions})},
            {load_chart(folder, {"transaction", transaction_states,
                                 transaction_events, transaction_actions})},
            {load_chart(folder,
                        {"group", group_states, group_events, group_actions})},
            load_endpoint_charts(folder)};
}

}
