#ifndef BLUEBELLSPOKE_SESSION_SESSION_TYPES_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_TYPES_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <decide/connection_budget.hpp>
#include <decide/group_view.hpp>
#include <decide/load/client_budget.hpp>
#include <decide/load/endpoint_load.hpp>
#include <decide/load/token_transfer.hpp>
#include <decide/load/turn_queue.hpp>
#include <decide/rate_bucket.hpp>
#include <decide/relay_changes.hpp>
#include <model/site.hpp>
#include <model/usage.hpp>
#include <session/line_stream.hpp>
#include <session/session_charts.hpp>
#include <session/session_codec.hpp>

namespace bluebellspoke
{

struct session;
struct link;
struct home_link;
struct endpoint_pool;
struct service_group;

struct session_task_list;
using auto_unlink_hook = boost::intrusive::list_base_hook<
    boost::intrusive::tag<session_task_list>,
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
struct readable_sessions;
/// Membership in the list of sessions that are read in the loop's next turn.
using readable_hook = boost::intrusive::list_base_hook<
    boost::intrusive::tag<readable_sessions>,
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
struct waiting_sessions;
/// Membership in the list of sessions that wait for memory.
using waiting_hook = boost::intrusive::list_base_hook<
    boost::intrusive::tag<waiting_sessions>,
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
template <class Item>
using intrusive_list =
    boost::intrusive::list<Item, boost::intrusive::base_hook<auto_unlink_hook>,
                           boost::intrusive::constant_time_size<false>>;
template <class Item>
using counted =
    boost::intrusive_ref_counter<Item, boost::thread_unsafe_counter>;

using link_ptr = boost::intrusive_ptr<link>;
using session_ptr = boost::intrusive_ptr<session>;
using home_link_ptr = boost::intrusive_ptr<home_link>;

/// A prepared statement without its name, which each caller chooses for itself.
/// Endpoint connections compare prepared statements by these fields.
struct prepared_statement
{
    bool m_writes = false;
    std::string m_shape;

    friend auto operator<=>(const prepared_statement&,
                            const prepared_statement&) = default;
};

using session_values = std::map<std::string, std::string, std::less<>>;

/// What was known when a commit that wrote was acknowledged.
struct acknowledged_commit
{
    std::optional<log_position> m_position; ///< As the endpoint reported it.
    term_number m_lease_term = 0;           ///< Known before it arrived.
    duration m_lease_left{};                ///< Zero: no lease was in force.
};

/// A caller's statement, from its arrival until it is answered.
struct work : counted<work>, fair_queue_hook, auto_unlink_hook
{
    session_ptr m_session; ///< Null after the caller disconnected.
    std::string m_id;
    std::string m_text;
    statement_kind m_kind = statement_kind::unknown;
    std::optional<prepared_statement> m_prepared; ///< What EXECUTE runs.
    std::string m_prepared_name;                  ///< Its name for the caller.
    std::string m_arguments;                      ///< Arguments of EXECUTE.
    bool m_writes = false;
    bool m_needs_primary = false;
    bool m_starts_transaction = false;
    time_point m_arrived_at{};    ///< Arrival, or the start of its transaction.
    time_point m_received_at{};   ///< When this statement arrived.
    time_point m_deadline{};      ///< Timeout of the statement.
    time_point m_send_deadline{}; ///< Refused if it isn't sent by then.
    /// Latest time to be sent at which the answer is useful to the caller.
    time_point m_useful_until{};
    turn_class m_turn;               ///< The line in which it waits.
    time_point m_sent_at{};          ///< Zero if it hasn't been sent.
    time_point m_attempt_deadline{}; ///< Timeout of the current attempt.
    time_point m_resend_at{};        ///< Zero if no retry is scheduled.
    std::uint32_t m_attempts = 0;
    double m_draw = 0; ///< Random number in [0, 1) by which it is sent to one
                       ///< of several endpoints.
    /// Endpoints where an attempt failed.
    std::set<std::string, std::less<>> m_tried_endpoints;
    link_ptr m_link;
    bool m_waits_for_rate = false;
    std::string m_evidence; ///< State that led to a refusal, for the log.
    std::string m_answer;   ///< Rows and completion as received.
    std::optional<acknowledged_commit> m_acknowledged;
};

using work_ptr = boost::intrusive_ptr<work>;

/// The open transaction of a session.
struct session_transaction
{
    bool m_is_read_only = false;
    bool m_has_written = false;
    bool m_is_aborted = false; ///< Aborted here; the caller doesn't know yet.
    time_point m_began_at{};
    time_point m_idle_since{};
    time_point m_first_sent_at{}; ///< When its first statement was sent.
    link_ptr m_link;              ///< Null before its first statement.
};

/// What the next reply of a home answers.
enum class home_reply_kind : std::uint8_t
{
    startup,
    setup, ///< Session values, prepared statements and BEGIN.
    statement,
    rollback,
};

/// The connection from the process that accepted a session to its home.
struct home_link : counted<home_link>, auto_unlink_hook
{
    session* m_session = nullptr;
    std::string m_home; ///< Name of the process.
    std::unique_ptr<line_stream> m_stream;
    home_link_state m_state = home_link_state::opening;
    time_point m_state_since{}; ///< Entry time of m_state.
    /// Version of the configuration that the home was told last.
    std::uint64_t m_config_version = 0;
    /// What the home has been told of the session.
    session_values m_values;
    std::map<std::string, prepared_statement, std::less<>> m_prepared;
    std::deque<home_reply_kind> m_expected_replies;
    /// The error in the reply that is being read.
    std::optional<session_fault> m_fault;
    std::string m_fault_detail;
};

/// A caller's connection and its session state.
struct session : counted<session>, auto_unlink_hook, readable_hook, waiting_hook
{
    std::uint64_t m_number = 0;
    std::unique_ptr<line_stream> m_stream;
    session_state m_state = session_state::starting;
    std::string m_database;
    std::string m_key;
    site_config_ptr m_config; ///< Used by the current operation.
    const site_route* m_route = nullptr;
    std::string m_workspace; ///< Empty on a public route.
    session_values m_values;
    std::map<std::string, prepared_statement, std::less<>> m_prepared;
    std::optional<log_position>
        m_commit_position; ///< Log position of its last commit.
    std::optional<session_transaction> m_transaction;
    work_ptr m_work; ///< The statement that is being processed.
    bool m_is_closing = false;
    home_link_ptr m_home_link; ///< Null while the session runs here.
    bool m_is_relayed = false; ///< Accepted by another process.
    bool m_is_reading = false; ///< In read_session.
    client_use m_use;
    client_times m_times;
    std::size_t m_shared_use = 0; ///< Counted in m_clients.
};

/// What the callers' connections take of this process.
struct session_clients
{
    client_limits m_limits;
    std::size_t m_open = 0;
    std::size_t m_shared_used = 0; ///< Sum of m_shared_use.
    bool m_accepts = true;         ///< False at the limit.
    time_point m_next_check_at{};  ///< Of the sessions' time limits.
    time_point m_pause_logged_at{};
    std::uint64_t m_pauses = 0;
    std::array<std::uint64_t, client_fault_count> m_closed{}; ///< By fault.
};

/// What the next reply on an endpoint connection answers.
enum class expected_reply_kind : std::uint8_t
{
    startup,
    setup, ///< Session values and prepared statements.
    begin,
    statement,
    rollback,
    status,
};

/// A request sent to an endpoint whose reply hasn't been read completely.
struct expected_reply
{
    expected_reply_kind m_kind = expected_reply_kind::statement;
    time_point m_requested_at{};
    bool m_failed = false;
    session_fault m_fault = session_fault::other;
    std::string m_status_row{}; ///< Row of a status reply.
    /// The window in which the statement counts as a request.
    std::optional<window_id> m_usage_window{};
};

/// A connection to an endpoint, used for one workspace.
struct link : counted<link>, auto_unlink_hook
{
    endpoint_pool* m_endpoint_pool = nullptr;
    std::string m_workspace;
    std::unique_ptr<line_stream> m_stream;
    link_state m_state = link_state::connecting;
    session_values m_values;
    std::set<prepared_statement> m_prepared;
    std::size_t m_prepared_bytes = 0; ///< Of the shapes in m_prepared.
    std::deque<expected_reply> m_expected_replies;
    work_ptr m_work; ///< What it runs, or was opened for.
    bool m_in_transaction =
        false;                  ///< In a transaction of the caller's session.
    bool m_must_close = false;  ///< Closed instead of reused when idle.
    time_point m_state_since{}; ///< Entry time of m_state.
};

/// An endpoint, what is known of it, and this process's connections to it.
struct endpoint_pool
{
    site_endpoint m_endpoint;
    service_group* m_group = nullptr;
    bool m_is_listed = true;
    bool m_evacuated = false;
    time_point m_draining_since{}; ///< Zero if neither draining nor evacuated.
    std::string m_region;
    connection_budget m_budget;
    /// Connections of all processes, by its latest status.
    std::uint32_t m_open_connections = 0;
    time_point m_counted_at{}; ///< When that status was received.
    endpoint_load m_load;      ///< By statuses, here or relayed, and refusals.
    intrusive_list<link> m_links;
    std::uint32_t m_link_count = 0;
    std::uint32_t m_statements_in_flight = 0; ///< Statements awaiting a reply.
    double m_latency_ms = 0;                  ///< Smoothed response time.
    time_point m_responded_at{};              ///< Last statement reply.
    time_point m_last_contact_at{};           ///< Last reply of any kind.
    bool m_is_avoided = false;                ///< Until it replies to anything.
    time_point m_avoided_at{};         ///< When it was last found to fail.
    time_point m_avoid_until{};        ///< Not tried at all until then.
    duration m_avoid_interval{};       ///< Length of the last avoidance.
    time_point m_relayed_contact_at{}; ///< Last reply to the cell leader.
    time_point m_full_until{};         ///< No new connections until then.
    duration m_full_pause{};           ///< Length of the last such pause.
    time_point m_busy_until{};         ///< Out of capacity until then.
    time_point m_lags_until{};         ///< Too far behind for reads until then.
    time_point m_status_requested_at{};
    bool m_status_wanted = false;
};

/// A settled endpoint that isn't listed any more.
struct unlisted_endpoint
{
    std::uint64_t m_started_ms = 0;
    time_point m_at{};
};

/// A service: its primary and replicas, and the work that waits for them.
struct service_group
{
    site_service m_service;
    bool m_is_new = true; ///< In the first list that has it.
    /// Settled endpoints whose entries were removed, by id.
    std::map<std::string, unlisted_endpoint, std::less<>> m_unlisted;
    group_view m_view;
    turn_queue m_queue;
    time_point m_next_review_at{}; ///< Of the statements that wait.
    time_point m_used_at{};        ///< Last statement, or request of a process
                                   ///< in the cell.
    time_point m_asked_for_at{};   ///< Last request of another cell's leader.
    relay_bases m_relay_bases;     ///< What cell leaders answered last.
    relay_history m_relay_history; ///< What this process answered last.
    time_point m_starved_since{};  ///< When work began to wait for its lease;
                                   ///< zero if none does.
    /// This process asks the endpoints, though it hears of the group from the
    /// cell leader: what it heard gave no lease.
    bool m_asks_itself = false;
    time_point m_primary_missing_since{}; ///< When its primary became unknown.
    time_point m_primary_contact_at{};    ///< Last reply of the primary.
    /// When the newest commit that was acknowledged was sent.
    time_point m_acknowledged_commit_sent_at{};
    std::string m_logged_primary; ///< Primary that was logged last.
};

/// This process's share of a workspace's rate limit, and the work that waits
/// for it.
struct workspace_rate
{
    rate_bucket m_bucket;
    double m_rate = 0;  ///< Fleet-wide limit, in operations per second.
    double m_burst = 0; ///< Fleet-wide limit, in operations.
    double m_initial_credit =
        0; ///< Operations allowed to a new process at its start.
    /// Operations of its own credit that this process has admitted.
    std::uint32_t m_own_credit_used = 0;
    double m_recent_arrivals = 0; ///< Arrivals, decayed over demand_decay_time.
    time_point m_last_arrival_at{};
    turn_queue m_waiting;
    /// Earliest time of the next request to the cell leader.
    time_point m_next_request_at{};
    token_transfers m_transfers; ///< From other cells.
};

}

#endif
