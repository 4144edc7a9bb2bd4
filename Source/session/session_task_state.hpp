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

/// From one look at deadlines to the next.
inline constexpr std::chrono::milliseconds session_tick{20};
/// The part of a latency objective that a statement may wait to be sent: later
/// refusals are counted as late by the deployments' rules.
inline constexpr double wait_part = 0.25;
/// The part of a statement's timeout that one attempt of a read may take
/// before it is tried elsewhere.
inline constexpr double attempt_part = 0.4;
/// Attempts of a statement at most; one for each member of a usual group.
inline constexpr std::uint32_t most_attempts = 3;
/// A connection that isn't greeted by then is given up: four round trips
/// between regions, and a new connection's time at a loaded endpoint.
inline constexpr std::chrono::milliseconds greeting_limit{600};
/// Pause after an endpoint refused a connection or was silent; doubles.
inline constexpr std::chrono::milliseconds first_avoid_pause{100};
inline constexpr std::chrono::milliseconds longest_avoid_pause{1600};
/// Connections to an endpoint that are left to the process that promotes.
inline constexpr std::uint32_t reserved_connections = 2;
/// How far beyond its even part of an endpoint's connections a process may go
/// while there is room: open transactions hold connections on some processes
/// and not on others, and an endpoint that is full says so.
inline constexpr double connection_reach = 1.5;
/// How long no connection is opened to an endpoint that was full: a usual
/// pause inside a transaction.
inline constexpr std::chrono::milliseconds full_pause{100};
/// Idle connections to an endpoint that are kept. After a loss of power of all
/// VMs endpoints count the old connections for some seconds, and the new ones
/// have to fit beside them: twice what all processes keep is within the limits
/// of the deployments described.
inline constexpr std::uint32_t kept_links = 2;
/// How long a connection beyond these stays idle.
inline constexpr std::chrono::milliseconds spare_link_time{500};
/// How long an endpoint that had no room gets no new work: about the time in
/// which one of its statements ends.
inline constexpr std::chrono::milliseconds busy_pause{30};
/// Bytes that a caller may leave unread before its session is closed.
inline constexpr std::size_t most_unsent = 4U << 20U;

enum class session_outcome : std::uint8_t
{
    served,
    refused, ///< Nothing was kept, and the caller was told so.
    failed,  ///< It may have run.
    gone,    ///< The caller left first.
};

/// What is counted of the statements on one kind of route.
struct route_counts
{
    std::array<std::uint64_t, 4> m_outcomes{}; ///< By session_outcome.
    latency_histogram m_wait_time;
    latency_histogram m_endpoint_time;
    latency_histogram m_whole_time; ///< From arrival to an ordinary answer.
};

/// What the session task counts; docs/METRICS.md says what each means.
struct session_counts
{
    std::array<route_counts, 3> m_routes{}; ///< By read_consistency.
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

/// Everything that the session task owns.
struct session_task_state
{
    session_task_state(const site_settings& settings,
                       const session_codec& codec, const session_charts& charts,
                       site_mailboxes& boxes);

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
    std::map<std::string, endpoint_port, std::less<>> m_ports; ///< By id.
    intrusive_list<session> m_sessions;
    intrusive_list<work> m_works; ///< All that have a deadline.
    std::map<std::string, workspace_rate, std::less<>> m_rates;
    demand_table m_demand;
    demand_division m_division;    ///< Of m_demand, as of the last pass.
    bool m_division_stale = false; ///< News came after it.
    time_point m_divide_at{};      ///< No other pass before.
    time_point m_tell_at{};        ///< Of the next look at the weights.
    std::size_t m_processes = 0;   ///< Of the fleet.
    bool m_has_keepers = false;    ///< One process keeps the rates of a cell.
    std::uint64_t m_kept_incarnation = 0; ///< Of the last time it was this one.
    time_point m_kept_until{};            ///< Zero: this process isn't it.
    bool m_tokens_wanted = false;         ///< The keeper is being asked.
    bool m_knows_workspaces = false;      ///< A configuration came before.
    std::uint64_t m_last_number = 0;
    bool m_reporting = false;
    time_point m_report_at{};
    time_point m_stopping_since{}; ///< Zero: it isn't.
    bool m_stop_told = false;
    session_counts m_counts;
    task_usage m_usage{.m_task = "session", .m_tick = session_tick};
};

// session_callers.cpp
void accept_session(session_task_state& t, int socket);
/// Takes the lines that a session has sent, until one is under way.
void read_session(session_task_state& t, session& s);
void close_session(session_task_state& t, session& s);
/// Sends an answer and says where the session stands.
void answer_ready(session_task_state& t, session& s, std::string_view answer);
void answer_complete(session_task_state& t, session& s);
/// Answers an error. In a transaction only its end is taken after it.
void answer_fault(session_task_state& t, session& s, session_fault fault,
                  std::string_view detail);

// session_statements.cpp
void take_statement(session_task_state& t, session& s, std::string_view id,
                    const session_statement& statement);
/// Rolls back and forgets the session's transaction, if it has one.
void drop_transaction(session_task_state& t, session& s);

// session_dispatch.cpp
/// Finds a connection for the work, or queues it, or refuses it.
void dispatch(session_task_state& t, const work_ptr& w);
/// True when the endpoint's log, or the floor that goes with the work, has
/// all that the work must see.
bool holds_enough(const work& w, const endpoint_port& p);
/// Serves what waits for the group's endpoints.
void serve_waiting(session_task_state& t, service_group& g);
/// Refuses work that wasn't sent, or answers for work that was.
void fail_work(session_task_state& t, const work_ptr& w, session_fault fault,
               std::string_view detail);
/// The statement's answer is in m_answer.
void complete_work(session_task_state& t, const work_ptr& w);
/// Tries the work again elsewhere if its time allows, else fails it.
void retry_work(session_task_state& t, const work_ptr& w, session_fault fault,
                std::string_view detail);
void check_deadlines(session_task_state& t, time_point now);

// session_log.cpp
/// Whole milliseconds, as log lines give times.
std::string milliseconds_of(duration d);
/// What is known of the group that the work waits for.
std::string describe_group(const session_task_state& t, const work& w,
                           time_point now);
/// The work ends without an ordinary answer.
void log_failed(const work& w, session_fault fault, std::string_view detail);
/// The same for a statement that never became work.
void log_refused(const session_task_state& t, const session& s,
                 std::string_view id, session_fault fault,
                 std::string_view detail);
void log_waiting(const work& w, std::string_view cause,
                 std::string_view evidence);
void log_sent(const link& k, const work& w,
              const std::optional<log_position>& floor);
void log_retried(const work& w, std::string_view endpoint, session_fault fault,
                 std::string_view detail);
/// `request` is empty for the system's own questions.
void log_connection(event_id id, const link& k, std::string_view cause,
                    std::string_view request);
void log_served(const session& s, const work& w, std::string_view endpoint);

// session_links.cpp
/// An idle connection for the workspace, or one that is dialed for the work.
link_ptr obtain_link(session_task_state& t, endpoint_port& p,
                     std::string_view workspace, const session* values);
/// True when obtain_link would give a connection now.
bool has_room(const endpoint_port& p, std::string_view workspace);
bool has_idle_link(const endpoint_port& p, std::string_view workspace);
/// Moves the link's state chart.
void move_to(session_task_state& t, link& k, link_event event);
/// Notes that an answer of this kind comes next but for those awaited already.
void expect(link& k, link_answer kind);
/// Rolls the link's transaction back and gives it up.
void roll_back(session_task_state& t, link& k);
/// Gives an idle link to what waits.
void release_link(session_task_state& t, link& k);
void close_link(session_task_state& t, link& k, std::string_view cause);
/// The same for one that failed: it isn't dialed again at once.
void lose_link(session_task_state& t, link& k, std::string_view cause);
void check_links(session_task_state& t, time_point now);

// session_sending.cpp
/// Sends the work on its connection, after what it needs there.
void send_work(session_task_state& t, link& k);
/// Adds the work's statement to `out`; its transaction has begun.
void send_statement(session_task_state& t, link& k, work& w, std::string& out);

// session_answers.cpp
/// Takes the lines that an endpoint has sent.
void read_link(session_task_state& t, link& k);

// session_groups.cpp
void update_groups(session_task_state& t);
void ask_statuses(session_task_state& t, time_point now);
void ask_status(session_task_state& t, link& k);
void take_status(session_task_state& t, link& k, const expected_answer& e);
/// Any answer of an endpoint: it lives, and its log reaches this position.
void take_sign(endpoint_port& p, time_point asked_at,
               const std::optional<log_position>& position);
/// True from when the endpoint is avoided until it answers anything: a question
/// for its status tries it, not a caller's work.
bool is_in_doubt(const endpoint_port& p) noexcept;
/// Something that was asked of it has no answer in time.
void note_overdue(endpoint_port& p);
void avoid_port(endpoint_port& p, std::string_view cause);
void report_primaries(session_task_state& t, time_point now);
/// Logs a change of a group's primary.
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
/// Counts one operation of the workspace. Work that waits is dispatched, or
/// refused, later.
rate_verdict admit_operation(session_task_state& t, std::string_view workspace,
                             const work_ptr& w);
void take_weights(session_task_state& t, const weights_heard& m);
/// This process divides the limits itself, for itself or for its cell.
bool keeps_rates(const session_task_state& t, time_point now);
void fade(workspace_rate& r, time_point now);
/// Takes one operation out of what is kept here.
bool admit_one(workspace_rate& r, time_point now);
/// The work that waits for the rate is refused.
void refuse_waiting(session_task_state& t, workspace_rate& r, const work_ptr& w,
                    std::string evidence);
/// True when the first of m_waiting still waits; drops those before it.
bool anything_waits(workspace_rate& r);

/// Divides the limits anew, as a process that has just started does.
void begin_division(session_task_state& t, std::string_view self,
                    time_point now);

// session_tokens.cpp
/// Begins or ends to keep the cell's rates.
void take_keeping(session_task_state& t, const rates_kept& m);
/// The work waits for the keeper's answer.
void ask_keeper(session_task_state& t, workspace_rate& r, const work_ptr& w);
void take_tokens(session_task_state& t, const tokens_given& m);
/// Another process of the cell asks.
void give_tokens(session_task_state& t, const tokens_asked& m);
/// Asks for what is due, and refuses what has waited too long.
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
