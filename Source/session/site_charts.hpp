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
    resting,
};

enum class watch_event : std::uint8_t
{
    listed,
    changed,
    history_gone,
    failed,
    rested,
    relayed,
    unrelayed,
};

enum class watch_action : std::uint8_t
{
    read_all,
    watch,
    rest,
};

enum class takeover_state : std::uint8_t
{
    led,
    touching,
    recording,
    waiting,
    ordering,
    confirming,
};

enum class takeover_event : std::uint8_t
{
    duty_lost,
    doubted,
    touched,
    given_up,
    recorded,
    lease_over,
    ordered,
    unanswered,
    impossible,
    leads,
};

enum class takeover_action : std::uint8_t
{
    touch,
    record,
    resume,
    wait,
    order,
    confirm,
    announce,
    let_go,
};

enum class cell_state : std::uint8_t
{
    single,
    following,
    standing,
    keeping,
};

enum class cell_event : std::uint8_t
{
    joined,
    left,
    unheard,
    outranked,
    chosen,
    lapsed,
};

enum class cell_action : std::uint8_t
{
    keep,
    yield,
};

std::string_view to_string(takeover_state state) noexcept;

using watch_chart = typed_chart<watch_state, watch_event, watch_action>;
using takeover_chart =
    typed_chart<takeover_state, takeover_event, takeover_action>;
using cell_chart = typed_chart<cell_state, cell_event, cell_action>;

/// The charts that the tasks of a site process interpret.
struct site_charts
{
    session_charts m_session;
    watch_chart m_watch;
    takeover_chart m_takeover;
    cell_chart m_cell;
};

/// Reads all charts of a site process. Throws chart_error.
site_charts load_site_charts(const std::filesystem::path& folder);

}

#endif
