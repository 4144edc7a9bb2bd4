#ifndef BLUEBELLSPOKE_SESSION_SITE_CHARTS_HPP
#define BLUEBELLSPOKE_SESSION_SITE_CHARTS_HPP

#include <cstdint>
#include <filesystem>
#include <string_view>

#include <chart/chart.hpp>
#include <session/session_charts.hpp>

namespace bluebellspoke
{

enum class watch_state : std::uint8_t
{
    listing,
    watching,
    relayed,
    pausing,
    backing_off,
};

enum class watch_event : std::uint8_t
{
    listed,
    changed,
    changed_in_burst,
    history_gone,
    failed,
    timer_expired,
    relayed,
    relay_lost,
};

enum class watch_action : std::uint8_t
{
    read_all,
    watch,
    pause,
    back_off,
};

enum class takeover_state : std::uint8_t
{
    led,
    touching,
    recording,
    waiting,
    reviewing,
    ordering,
    confirming,
};

enum class takeover_event : std::uint8_t
{
    duty_lost,
    primary_suspected,
    fenced,
    given_up,
    recorded,
    leases_expired,
    ordered,
    timed_out,
    successor_not_running,
    primary_confirmed,
    fence_lost,
    members_confirmed,
};

enum class takeover_action : std::uint8_t
{
    fence,
    record,
    resume,
    wait,
    order,
    confirm,
    announce,
    end_takeover,
    renew_fence,
    list_members,
};

enum class cell_state : std::uint8_t
{
    no_cell,
    follower,
    candidate,
    leader,
};

enum class cell_event : std::uint8_t
{
    joined,
    left,
    leader_silent,
    outranked,
    elected,
    votes_lapsed,
};

enum class cell_action : std::uint8_t
{
    start_leading,
    stop_leading,
};

enum class restart_check_state : std::uint8_t
{
    waiting,
    first_round,
    reading,
    second_round,
    over,
};

enum class restart_check_event : std::uint8_t
{
    due,
    complete,
    same_members,
    unanswered,
    refuted,
};

enum class restart_check_action : std::uint8_t
{
    ask,
    read_members,
    ask_again,
    stand_for_election,
};

enum class usage_report_state : std::uint8_t
{
    without_duty,
    collecting,
    recording,
    sending,
    pausing,
};

enum class usage_report_event : std::uint8_t
{
    duty_gained,
    duty_gained_unsent,
    duty_lost,
    window_due,
    recorded,
    settled,
    unsettled,
    pause_over,
};

enum class usage_report_action : std::uint8_t
{
    record,
    send_report,
    finish,
    pause,
};

std::string_view to_string(takeover_state state) noexcept;

using watch_chart = typed_chart<watch_state, watch_event, watch_action>;
using takeover_chart =
    typed_chart<takeover_state, takeover_event, takeover_action>;
using cell_chart = typed_chart<cell_state, cell_event, cell_action>;
using restart_check_chart =
    typed_chart<restart_check_state, restart_check_event, restart_check_action>;
using usage_report_chart =
    typed_chart<usage_report_state, usage_report_event, usage_report_action>;

/// The charts that the tasks of a site process interpret.
struct site_charts
{
    session_charts m_session;
    watch_chart m_watch;
    takeover_chart m_takeover;
    cell_chart m_cell;
    restart_check_chart m_restart_check;
    usage_report_chart m_usage_report;
};

/// Reads all charts of a site process. Throws chart_error.
site_charts load_site_charts(const std::filesystem::path& folder);

}

#endif
