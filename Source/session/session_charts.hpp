#ifndef BLUEBELLSPOKE_SESSION_SESSION_CHARTS_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_CHARTS_HPP

#include <cstdint>
#include <filesystem>

#include <chart/chart.hpp>

namespace bluebellspoke
{

enum class session_state : std::uint8_t
{
    starting,
    idle,
    open,
    failed,
    closed,
};

enum class session_event : std::uint8_t
{
    left,
    started,
    begun,
    ended,
    broken,
};

enum class link_state : std::uint8_t
{
    dialing,
    idle,
    running,
    pinned,
    leaving,
    closed,
};

enum class link_event : std::uint8_t
{
    lost,
    greeted,
    sent,
    answered,
    kept,
    rolled_back,
};

/// The action type of charts without actions.
enum class no_action : std::uint8_t
{
};

using session_chart = typed_chart<session_state, session_event, no_action>;
using link_chart = typed_chart<link_state, link_event, no_action>;

struct session_charts
{
    session_chart m_session;
    link_chart m_link;
};

/// Reads session.scxml and link.scxml. Throws chart_error.
session_charts load_session_charts(const std::filesystem::path& folder);

}

#endif
