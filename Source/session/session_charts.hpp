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
    in_transaction,
    in_failed_transaction,
    closed,
};

enum class session_event : std::uint8_t
{
    disconnected,
    started,
    transaction_begun,
    transaction_finished,
    transaction_failed,
};

enum class link_state : std::uint8_t
{
    connecting,
    idle,
    running,
    pinned,
    rolling_back,
    closed,
};

enum class link_event : std::uint8_t
{
    lost,
    connected,
    sent,
    answered,
    pinned,
    rollback_sent,
};

enum class home_link_state : std::uint8_t
{
    opening,
    at_rest,
    running,
    in_transaction,
    closed,
};

enum class home_link_event : std::uint8_t
{
    lost,
    accepted,
    sent,
    answered,
    kept_open,
    rolled_back,
};

/// The action type of charts without actions.
enum class no_action : std::uint8_t
{
};

using session_chart = typed_chart<session_state, session_event, no_action>;
using link_chart = typed_chart<link_state, link_event, no_action>;
using home_link_chart =
    typed_chart<home_link_state, home_link_event, no_action>;

struct session_charts
{
    session_chart m_session;
    link_chart m_link;
    home_link_chart m_home_link;
};

/// Reads session.scxml, link.scxml and home_link.scxml. Throws chart_error.
session_charts load_session_charts(const std::filesystem::path& folder);

}

#endif
