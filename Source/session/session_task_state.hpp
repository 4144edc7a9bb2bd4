#ifndef BLUEBELLSPOKE_SESSION_SESSION_TASK_STATE_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_TASK_STATE_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <report/event.hpp>
#include <report/latency_histogram.hpp>
#include <report/task_usage.hpp>
#include <session/session_messages.hpp>
#include <session/session_types.hpp>

struct evconnlistener;

namespace bluebellspoke
{

/// Interval at which deadlines are checked.
inline constexpr std::chrono::milliseconds session_tick{20};
/// Fraction of the latency objective that a statement may wait to be sent. The
/// deployments' rules count a later refusal as late.
inline constexpr double wait_part = 0.25;
/// Fraction of a statement's timeout that one attempt of a read may take before
/// another endpoint is tried.
inline constexpr double attempt_part = 0.4;
/// Most attempts for one statement: one for each member of a typical group.
inline constexpr std::uint32_t most_attempts = 3;
/// Timeout for connecting to an endpoint: four round trips between regions, and
/// the time that a loaded endpoint needs to set up a connection.
inline constexpr std::chrono::milliseconds greeting_limit{600};
/// How long an endpoint is avoided after it refused a connection or was
/// unresponsive; doubles with each further failure up to the maximum.
inline constexpr std::chrono::milliseconds first_avoid_pause{100};
inline constexpr std::chrono::milliseconds longest_avoid_pause{1600};
/// Connections of an endpoint that are reserved for the process that promotes
/// a primary.
inline constexpr std::uint32_t reserved_connections = 2;
/// Factor by which a process may exceed its even share of an endpoint's
/// connections. Open transactions hold more connections on some processes than
/// on others, and an endpoint refuses connections when it is full.
inline constexpr double connection_reach = 1.5;
/// How long no connection is opened to an endpoint that was full: the typical
/// pause between two statements of a transaction.
inline constexpr std::chrono::milliseconds full_pause{100};
/// Connections to an endpoint that stay open even if idle. After all VMs lose
/// power, endpoints count the old connections for some seconds, and the new
/// ones have to fit beside them. Twice the connections that all processes
/// retain is within the limits of the deployments described.
inline constexpr std::uint32_t kept_links = 2;
/// Idle timeout of the connections beyond retained_links.
inline constexpr std::chrono::milliseconds spare_link_time{500};
/// How long an endpoint without free capacity gets no new work: about the time
/// in which one of its statements finishes.
inline constexpr std::chrono::milliseconds busy_pause{30};
/// Most response bytes that may be unsent to a caller; beyond that its session
/// is closed.
inline constexpr std::size_t most_unsent = 4U << 20U;

/// How a caller's statement ended.
enum class session_outcome : std::uint8_t
{
    served,
    refused, ///< It had no effect, and the caller was told so.
    failed,  ///< It may have run.
    gone,    ///< The caller disconnected first.
};

/// Counters and histograms of the statements on one kind of route.
struct route_counts
{
    std::array<std::uint64_t, 4> m_outcomes{}; ///< Indexed by session_outcome.
    latency_histogram m_wait_time;
    latency_histogram m_endpoint_time;
    latency_histogram m_whole_time; ///< From arrival to a successful answer.
};

/// Counters of the session task; docs/METRICS.md describes the metrics.
struct session_counts
{
    std::array<route_counts, 3> m_routes{}; ///< Indexed by read_consistency.
    std::map<session_fault, std::uint64_t> m_faults;
    std::uint64_t m_sessions = 0;
    std::uint64_t m_links_opened = 0;
    std::uint64_t m_primary_reads = 0;
    std::uint64_t m_replica_reads = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_status_questions = 0;
};

struct listener_deleter
{
    void operator()(evconnlistener* l) const noexcept;
};

/// The state that the session task owns.
struct session_task_state
{
    session_task_state(const site_settings& settings,
                       const session_codec& codec, const session_charts& charts,
                       site_mailboxes& mailboxes);

    site_settings m_settings;
    const session_codec& m_codec;
    const session_charts& m_charts;
    site_mailboxes& m_boxes;
    loop m_loop;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
    timer m_tick;
    site_config_ptr m_config;
    endpoint_snapshot_ptr m_endpoints;
    std::map<std::string, service_group, std::less<>> m_groups;
    /// Indexed by endpoint id.
    std::map<std::string, endpoint_port, std::less<>> m_ports;
    intrusive_list<session> m_sessions;
    intrusive_list<work> m_works; ///< All work with a deadline.
    std::map<std::string, workspace_rate, std::less<>> m_rates;
    demand_table m_demand;
    demand_division m_division;           ///< Last division of m_demand.
    bool m_division_stale = false;        ///< m_demand changed since.
    time_point m_divide_at{};             ///< Next division, at the earliest.
    time_point m_tell_at{};               ///< Next check of the weights.
    std::size_t m_processes = 0;          ///< Processes of the fleet.
    bool m_has_keepers = false;           ///< Cell leaders manage the rates.
    std::uint64_t m_kept_incarnation = 0; ///< Last incarnation as leader.
    time_point m_kept_until{};            ///< Zero if not the cell leader.
    bool m_tokens_wanted = false;         ///< Awaits the leader's response.
    bool m_knows_workspaces = false;      ///< Had a configuration before.
    std::uint64_t m_last_number = 0;
    bool m_reporting = false;
    time_point m_report_at{};
    time_point m_stopping_since{}; ///< Zero if not shutting down.
    bool m_stop_told = false;
    session_counts m_counts;
    task_usage m_usage{.m_task = "session", .m_tick = session_tick};
};

// session_callers.cpp
void accept_session(session_task_state& t, int socket);
/// Processes the received lines of a session until one starts an operation
/// that has to finish first.
void read_session(session_task_state& t, session& s);
void close_session(session_task_state& t, session& s);
/// Sends an answer, followed by the transaction status of the session.
void answer_ready(session_task_state& t, session& s, std::string_view answer);
void answer_complete(session_task_state& t, session& s);
/// Answers with an error. An open transaction then accepts only its end.
void answer_fault(session_task_state& t, session& s, session_fault fault,
                  std::string_view detail);

// session_statements.cpp
void take_statement(session_task_state& t, session& s, std::string_view id,
                    const session_statement& statement);
/// Rolls back and removes the session's transaction, if it has one.
void drop_transaction(session_task_state& t, session& s);

// session_dispatch.cpp
/// Sends the work on an available connection, queues it, or refuses it.
void dispatch(session_task_state& t, const work_ptr& w);
/// True if the endpoint can give the work the consistency that its route asks
/// for, by its own log or by the minimum log position that is sent along.
bool holds_enough(const work& w, const endpoint_port& p);
/// Dispatches the work that waits for the group's endpoints.
void serve_waiting(session_task_state& t, service_group& g);
/// Answers the work's caller with an error, whether the work was sent or not.
void fail_work(session_task_state& t, const work_ptr& w, session_fault fault,
               std::string_view detail);
/// Sends the complete answer in m_answer to the caller.
void complete_work(session_task_state& t, const work_ptr& w);
/// Retries the work on another endpoint if its deadline allows; otherwise
/// fails it.
void retry_work(session_task_state& t, const work_ptr& w, session_fault fault,
                std::string_view detail);
void check_deadlines(session_task_state& t, time_point now);

// session_log.cpp
/// Formats a duration in whole milliseconds for log lines.
std::string milliseconds_of(duration d);
/// Describes the known state of the group that the work waits for.
std::string describe_group(const session_task_state& t, const work& w,
                           time_point now);
/// Logs work that ended without a successful answer.
void log_failed(const work& w, session_fault fault, std::string_view detail);
/// Logs a statement that was refused before work was created for it.
void log_refused(const session_task_state& t, const session& s,
                 std::string_view id, session_fault fault,
                 std::string_view detail);
void log_waiting(const work& w, std::string_view cause,
                 std::string_view evidence);
void log_sent(const link& k, const work& w,
              const std::optional<log_position>& floor);
void log_retried(const work& w, std::string_view endpoint, session_fault fault,
                 std::string_view detail);
/// `request` is empty for the daemon's own status requests.
void log_connection(event_id id, const link& k, std::string_view cause,
                    std::string_view request);
void log_served(const session& s, const work& w, std::string_view endpoint);

// session_links.cpp
/// Returns an idle connection for the workspace, or opens one, in place of an
/// idle connection if the limit is reached; null if neither is possible.
link_ptr obtain_link(session_task_state& t, endpoint_port& p,
                     std::string_view workspace, const session* values);
/// True if obtain_link would return a connection now.
bool has_room(const endpoint_port& p, std::string_view workspace);
bool has_idle_link(const endpoint_port& p, std::string_view workspace);
/// Fires an event in the state chart of the connection.
void move_to(session_task_state& t, link& k, link_event event);
/// Appends a reply of this kind to the replies that the connection expects.
void expect(link& k, link_answer kind);
/// Sends a rollback on the connection; closes it instead if it still expects
/// replies, which would be taken for the reply to the rollback.
void roll_back(session_task_state& t, link& k);
/// Hands an idle connection to waiting work.
void release_link(session_task_state& t, link& k);
void close_link(session_task_state& t, link& k, std::string_view cause);
/// Closes a connection that failed. Its endpoint is avoided for a while if the
/// connection had not been established.
void lose_link(session_task_state& t, link& k, std::string_view cause);
void check_links(session_task_state& t, time_point now);

// session_sending.cpp
/// Sends the work on its connection, preceded by the setup that it needs.
void send_work(session_task_state& t, link& k);
/// Appends the work's statement to `out`; any transaction has been begun on the
/// connection.
void send_statement(session_task_state& t, link& k, work& w, std::string& out);

// session_answers.cpp
/// Processes the received lines of an endpoint connection.
void read_link(session_task_state& t, link& k);

// session_groups.cpp
void update_groups(session_task_state& t);
void ask_statuses(session_task_state& t, time_point now);
void ask_status(session_task_state& t, link& k);
void take_status(session_task_state& t, link& k, const expected_answer& e);
/// Records a reply of any kind: the endpoint is alive, and its log has reached
/// this position.
void take_sign(endpoint_port& p, time_point asked_at,
               const std::optional<log_position>& position);
/// True from when the endpoint is avoided until it replies to anything. It is
/// probed by status requests in that time, not by callers' work.
bool is_in_doubt(const endpoint_port& p) noexcept;
/// Records that a reply of the endpoint is overdue.
void note_overdue(endpoint_port& p);
void avoid_port(endpoint_port& p, std::string_view cause);
void report_primaries(session_task_state& t, time_point now);
/// Logs a change of the group's primary, if there is one.
void note_primary(session_task_state& t, service_group& g);

// session_rates.cpp
void update_rates(session_task_state& t);
void take_fleet(session_task_state& t, const fleet_changed& m);
enum class rate_verdict : std::uint8_t
{
    admitted,
    waits,
    refused,
};
/// Counts one operation against the workspace's rate. Waiting work is
/// dispatched or refused later.
rate_verdict admit_operation(session_task_state& t, std::string_view workspace,
                             const work_ptr& w);
void take_weights(session_task_state& t, const weights_heard& m);
/// True if this process divides the limits, for itself or as the leader of its
/// cell.
bool keeps_rates(const session_task_state& t, time_point now);
/// Decays the count of recent arrivals.
void fade(workspace_rate& r, time_point now);
/// Takes one token from the local bucket, if there is one.
bool admit_one(workspace_rate& r, time_point now);
/// Refuses work that waits for the rate.
void refuse_waiting(session_task_state& t, workspace_rate& r, const work_ptr& w,
                    std::string evidence);
/// Removes entries from the front of m_waiting that don't wait any more; true
/// if any work is left.
bool anything_waits(workspace_rate& r);

/// Resets the known demand and the buckets, as in a process that has just
/// started.
void begin_division(session_task_state& t, std::string_view self,
                    time_point now);

// session_tokens.cpp
/// Starts or stops managing the cell's rates as its leader.
void take_keeping(session_task_state& t, const rates_kept& m);
/// Requests a token from the cell leader; the work waits for the response.
void ask_keeper(session_task_state& t, workspace_rate& r, const work_ptr& w);
void take_tokens(session_task_state& t, const tokens_given& m);
/// Answers a token request of another process of the cell.
void give_tokens(session_task_state& t, const tokens_asked& m);
/// Sends due token requests and refuses work that has waited too long.
void tick_tokens(session_task_state& t, time_point now);
void tick_rates(session_task_state& t, time_point now);

// session_counts.cpp
void count_outcome(session_task_state& t, const session& s, session_outcome o);
void count_sent(session_task_state& t, const link& k, const work& w,
                bool reads);
void count_served(session_task_state& t, const session& s, const work& w);
metric_families collect_sessions(const session_task_state& t);
void count_fault(session_task_state& t, session_fault fault);

// session_stop.cpp
void begin_stop(session_task_state& t);
void tick_stop(session_task_state& t, time_point now);

}

#endif
