#ifndef BLUEBELLSPOKE_DAEMON_POOL_CHARTS_HPP
#define BLUEBELLSPOKE_DAEMON_POOL_CHARTS_HPP

#include <filesystem>

#include <chart/chart.hpp>
#include <daemon/endpoint_charts.hpp>
#include <endpoint/pg_connection.hpp>

namespace bluebellspoke
{

enum class request_state : std::uint8_t
{
    queued,
    parked,
    running,
    confirming,
    ended,
};

enum class request_event : std::uint8_t
{
    dispatched,
    parked,
    resumed,
    answered,
    committed,
    confirmed,
    retried,
    failed,
    expired,
    abandoned,
    revoked,
};

enum class request_action : std::uint8_t
{
    deliver,
    await_replica,
    await_majority,
    stop_waiting,
    requeue,
    refuse_not_run,
    refuse_as_reported,
    refuse_unknown,
    drop_connection,
    forget,
};

enum class transaction_state : std::uint8_t
{
    open,
    busy,
    ending,
    ended,
};

enum class transaction_event : std::uint8_t
{
    statement_sent,
    statement_done,
    end_sent,
    end_done,
    lost,
    expired,
};

enum class transaction_action : std::uint8_t
{
    release_connection,
    drop_connection,
    forget,
};

enum class group_state : std::uint8_t
{
    led,
    suspected,
    claiming,
    asking,
    fencing,
    promoting,
    yielded,
};

enum class group_event : std::uint8_t
{
    primary_missed,
    primary_found,
    /// The group's endpoints were changed, or this daemon was paused.
    election_reset,
    turn_reached,
    lease_granted,
    lease_denied,
    still_no_primary,
    elected,
    superseded,
    shutting_down,   ///< This daemon is shutting down.
    no_other_daemon, ///< No other daemon is left to run the election.
};

enum class group_action : std::uint8_t
{
    await_turn,
    claim_lease,
    ask_again,
    send_fences,
    send_promote,
    release_lease,
};

using request_chart = typed_chart<request_state, request_event, request_action>;
using transaction_chart =
    typed_chart<transaction_state, transaction_event, transaction_action>;

using group_chart = typed_chart<group_state, group_event, group_action>;

/// The charts that the pool task interprets.
struct pool_charts
{
    connection_chart m_connection;
    request_chart m_request;
    transaction_chart m_transaction;
    group_chart m_group;
    endpoint_charts m_endpoint_charts;
};

std::string_view to_string(group_state state) noexcept;

/// Reads the charts of the pool task. Throws chart_error.
pool_charts load_pool_charts(const std::filesystem::path& folder);

}

#endif
