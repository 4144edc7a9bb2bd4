#ifndef BLUEBELLSPOKE_SESSION_SESSION_TASK_STATE_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_TASK_STATE_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <decide/endpoint_verdict.hpp>
#include <decide/load/cold_start.hpp>
#include <decide/load/load_choice.hpp>
#include <decide/load/rate_verdict.hpp>
#include <report/event.hpp>
#include <report/latency_histogram.hpp>
#include <report/task_usage.hpp>
#include <session/home_types.hpp>
#include <session/milliseconds_of.hpp>
#include <session/session_messages.hpp>
#include <session/session_types.hpp>

struct evconnlistener;

namespace bluebellspoke
{

/// Interval at which deadlines are checked.
inline constexpr std::chrono::milliseconds session_tick_interval{20};
/// Fraction of the latency objective that a statement may wait to be sent. The
/// deployments' rules count a later refusal as late.
inline constexpr double max_send_wait_ratio = 0.25;
/// All workspaces have the same weight where they wait.
inline constexpr double equal_weight = 1;
/// Interval at which it is checked whether statements that wait have become
/// hopeless: often enough to refuse them well before the shortest latency
/// objective of the described deployments (500 ms).
inline constexpr std::chrono::milliseconds turn_review_interval{100};
/// Added to that interval for each statement that waits. The estimate for one
/// takes 30 us while 1000 of 81 workspaces wait, so that the reviews take a
/// hundredth of the time.
inline constexpr std::chrono::milliseconds turn_review_spacing{3};
/// Fraction of a statement's timeout that one attempt of a read may take before
/// another endpoint is tried.
inline constexpr double read_attempt_ratio = 0.4;
/// Most attempts for one statement: one for each member of a typical group.
inline constexpr std::uint32_t max_statement_attempts = 3;
/// Timeout for connecting to an endpoint: four round trips between regions, and
/// the time that a loaded endpoint needs to set up a connection.
inline constexpr std::chrono::milliseconds link_connect_timeout{600};
/// How long an endpoint is avoided after it refused a connection or was
/// unresponsive; doubles with each further failure up to the maximum.
inline constexpr std::chrono::milliseconds min_avoid_interval{100};
inline constexpr std::chrono::milliseconds max_avoid_interval{1600};
/// How long an endpoint without free capacity gets no new work: about the time
/// in which one of its statements finishes.
inline constexpr std::chrono::milliseconds busy_endpoint_pause{30};
/// Statements of one session that are read in a turn of the loop, so that a
/// caller that sends many at once doesn't hold up the others.
inline constexpr unsigned max_statements_a_turn = 32;

/// How a caller's statement ended.
enum class session_outcome : std::uint8_t
{
    served,
    refused,      ///< It had no effect, and the caller was told so.
    failed,       ///< It may have run.
    disconnected, ///< The caller disconnected first.
};

/// Why a statement was refused that hadn't been sent.
enum class refusal_cause : std::uint8_t
{
    hopeless_on_arrival,    ///< Its turn would have come too late.
    hopeless_while_waiting, ///< The same, seen after it had waited.
    deadline,               ///< It waited as long as it may.
    rate,                   ///< No token of its workspace's rate in time.
};
inline constexpr std::size_t refusal_cause_count = 4;

/// Number of priorities with metrics of their own; the last one stands for all
/// further ones. The described deployments use three.
inline constexpr std::size_t counted_priorities = 8;

/// Counters of the statements of one priority.
struct priority_counts
{
    latency_histogram m_wait_time;
    /// Indexed by refusal_cause.
    std::array<std::uint64_t, refusal_cause_count> m_refusals{};
};

/// Counters and histograms of the statements on one kind of route.
struct route_counts
{
    std::array<std::uint64_t, 4> m_outcomes{}; ///< Indexed by session_outcome.
    latency_histogram m_wait_time;
    latency_histogram m_endpoint_time;
    latency_histogram m_total_time; ///< From arrival to a successful answer.
};

/// Counters of the session task; docs/METRICS.md describes the metrics.
struct session_counts
{
    std::array<route_counts, 3> m_routes{}; ///< Indexed by read_consistency.
    std::array<priority_counts, counted_priorities> m_priorities{};
    std::map<session_fault, std::uint64_t> m_faults;
    std::uint64_t m_sessions = 0;
    std::uint64_t m_links_opened = 0;
    std::uint64_t m_links_failed = 0;      ///< Dropped after an exception.
    std::uint64_t m_home_links_failed = 0; ///< Dropped after an exception.
    std::uint64_t m_primary_reads = 0;
    std::uint64_t m_replica_reads = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_status_requests = 0;
    std::uint64_t m_relay_requests = 0;   ///< To the cell leader.
    std::uint64_t m_groups_in_full = 0;   ///< In answers to other processes.
    std::uint64_t m_groups_changed = 0;   ///< The same, as changes.
    std::uint64_t m_groups_unchanged = 0; ///< The same, left out.
    std::uint64_t m_full_endpoints = 0;   ///< Connections refused for want of
                                          ///< room.
    std::uint64_t m_busy_endpoints = 0;   ///< Statements refused for want of a
                                          ///< free slot.
    std::uint64_t m_best_choices = 0;     ///< Sent to the lowest expected cost.
    std::uint64_t m_other_choices = 0; ///< Sent to another one near the best.
    /// Acknowledgements of commits that no lease proved.
    std::uint64_t m_unproven_acknowledgements = 0;
    std::uint64_t m_own_credit_used = 0; ///< Admitted without a cell leader.
    std::uint64_t m_tokens_received = 0; ///< From other cells.
    std::uint64_t m_tokens_given = 0;    ///< To other cells.
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
    site_mailboxes& m_mailboxes;
    loop m_loop;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
    timer m_tick;
    timer m_turn; ///< Reads m_readable in the loop's next turn.
    boost::intrusive::list<session, boost::intrusive::base_hook<readable_hook>,
                           boost::intrusive::constant_time_size<false>>
        m_readable;
    /// Sessions that wait for memory, in the order in which they began to.
    boost::intrusive::list<session, boost::intrusive::base_hook<waiting_hook>,
                           boost::intrusive::constant_time_size<false>>
        m_waiting;
    session_clients m_clients;
    site_config_ptr m_config;
    endpoint_snapshot_ptr m_endpoints;
    std::map<std::string, service_group, std::less<>> m_groups;
    /// Indexed by endpoint id.
    std::map<std::string, endpoint_pool, std::less<>> m_endpoint_pools;
    intrusive_list<session> m_sessions;
    intrusive_list<work> m_pending_work; ///< All work with a deadline.
    std::map<std::string, workspace_rate, std::less<>> m_rates;
    demand_table m_demand;
    demand_division m_division;             ///< Last division of m_demand.
    bool m_division_stale = false;          ///< m_demand changed since.
    time_point m_next_division_at{};        ///< Next division, at the earliest.
    time_point m_next_announcement_at{};    ///< Next check of the weights.
    std::size_t m_process_count = 0;        ///< Processes of the fleet.
    bool m_has_cell_leaders = false;        ///< Cell leaders manage the rates.
    std::uint64_t m_leader_incarnation = 0; ///< Last incarnation as leader.
    time_point m_leader_until{};            ///< Zero if not the cell leader.
    bool m_token_request_pending = false;   ///< Awaits the leader's response.
    bool m_leader_is_silent = false;        ///< It gave none to the last one.
    bool m_has_previous_config = false;     ///< Had a configuration before.
    cold_start m_cold_start;
    std::uint64_t m_last_session_number = 0;
    bool m_reporting = false;
    time_point m_next_report_at{};
    time_point m_relay_requested_at{}; ///< Last request to the cell leader.
    bool m_relay_is_pending = false;   ///< It isn't answered yet.
    std::uint64_t m_relay_version = 0; ///< Of the last answer about groups.
    std::minstd_rand m_random;         ///< Spreads pauses and statements.
    time_point m_stopping_since{};     ///< Zero if not shutting down.
    bool m_stop_reported = false;
    home_directory m_homes;
    /// Accepts sessions that other processes pass on.
    std::unique_ptr<evconnlistener, listener_deleter> m_session_listener;
    session_counts m_counts;
    usage_counter m_requests;      ///< For the usage reports.
    clock_offset m_clock_offset{}; ///< Of true time; for the usage reports.
    time_point m_next_usage_at{};  ///< Next summary of them, at the earliest.
    window_id m_summed_final = 0;  ///< Windows that the last one made final.
    task_usage m_usage{.m_task = "session", .m_tick = session_tick_interval};
};

// session_callers.cpp
void accept_session(session_task_state& t, int socket, bool is_relayed = false);
/// Processes the received lines of a session until one starts an operation
/// that has to finish first.
void read_session(session_task_state& t, session& s);
/// Continues to read a session whose statement has been answered, in the loop's
/// next turn: a call of read_session would nest once for each statement.
void resume_session(session_task_state& t, session& s);
/// Reads the sessions of m_readable.
void read_sessions(session_task_state& t);
void close_session(session_task_state& t, session& s);
/// Sends an answer, followed by the transaction status of the session.
void answer_ready(session_task_state& t, session& s, std::string_view answer);
void answer_complete(session_task_state& t, session& s);
/// Answers with an error. An open transaction then accepts only its end.
void answer_fault(session_task_state& t, session& s, session_fault fault,
                  std::string_view detail);

// session_clients.cpp
/// Accepts the connections that wait, while there is room.
void listen(session_task_state& t);
/// Connections of callers and to endpoints.
std::size_t open_connections(const session_task_state& t);
/// Counts what the session holds now.
void count_use(session_task_state& t, session& s);
void forget_use(session_task_state& t, session& s);
/// Lets a session that awaits the rest of a message read it, if that is larger
/// than usual and there is memory.
void await_rest(session_task_state& t, session& s);
/// Closes a caller's connection that doesn't keep to a limit.
void close_client(session_task_state& t, session& s, client_fault fault);
/// Closes what passed a time limit or has to make room; accepts again.
void tick_clients(session_task_state& t, time_point now);
/// True if the session may keep a name of `added` bytes in place of one of
/// `replaced` bytes (0: none), and then counts it.
bool keep_bytes(session_task_state& t, session& s, std::size_t names,
                std::size_t added, std::size_t replaced);

// session_statements.cpp
/// Binds the session to the current configuration, which stays in effect for
/// the whole operation, and looks up the route; it then has no workspace.
std::optional<session_fault> bind_route(const session_task_state& t,
                                        session& s);
/// Binds the session, and looks up the workspace of its caller too.
std::optional<session_fault> begin_operation(const session_task_state& t,
                                             session& s);
/// Makes the work of a statement. A statement that executes a prepared one must
/// name one of the session's.
work_ptr make_statement_work(session& s, std::string_view id,
                             const session_statement& statement);
/// Sets the arrival of the work, how long it may take, and where it waits.
void set_deadlines(const session_task_state& t, work& w, const session& s,
                   time_point now);
void handle_statement(session_task_state& t, session& s, std::string_view id,
                      const session_statement& statement);
/// Runs the work in this process: counts it against its rate and dispatches it.
void serve_here(session_task_state& t, const work_ptr& w);
/// Rolls back and removes the session's transaction, if it has one.
void abort_transaction(session_task_state& t, session& s);

// session_dispatch.cpp
/// Sends the work on an available connection, queues it, or refuses it.
void dispatch(session_task_state& t, const work_ptr& w);
/// True if the session's route and workspace allow their statements in the
/// region.
bool allows_region(const session& s, std::string_view region);
/// True if the endpoint can give the work the consistency that its route asks
/// for, by its own log or by the minimum log position that is sent along.
bool meets_consistency(const work& w, const endpoint_pool& p);
/// Judges whether the endpoint may run the work, whatever its connections.
endpoint_verdict judge_endpoint(const work& w, const endpoint_pool& p,
                                time_point now);
/// Dispatches the work that waits for the group's endpoints.
void serve_waiting(session_task_state& t, service_group& g);
/// Removes the work from its queue, its list and its session, unanswered.
void detach_work(work& w);
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

// session_stalls.cpp
/// True if the answer to an overdue commit is still awaited after its caller
/// was told, because it may show that the primary's commits don't finish.
bool keeps_awaiting_commit(const session_task_state& t, const work& w,
                           time_point now);
/// Answers the commit's caller as if its connection was lost, and keeps the
/// connection until the answer arrives or a stall has been reported.
void await_overdue_commit(session_task_state& t, const work_ptr& w);
/// When the oldest commit without an answer was sent; zero: there is none.
time_point oldest_pending_commit(const session_task_state& t,
                                 const service_group& g);

// session_choice.cpp
/// An endpoint that may run a statement, and what the choice goes by.
struct pool_candidate
{
    endpoint_pool* m_endpoint_pool = nullptr;
    loaded_candidate m_loaded;
};
/// Returns the endpoints that may run the work. Changes nothing.
std::vector<pool_candidate> find_candidates(session_task_state& t,
                                            const work& w, time_point now);
/// Chooses one of the endpoints for the work; nothing if none can take it.
std::optional<load_choice> choose_for(const work& w,
                                      std::span<const pool_candidate> found,
                                      time_point now);
/// Returns what the choice takes one of them to cost.
load_cost expected_cost_of(std::span<const pool_candidate> found,
                           std::size_t index, time_point now);
/// Counts and logs that the work is sent to the one that was chosen.
void note_choice(session_task_state& t, const work& w,
                 std::span<const pool_candidate> found,
                 const load_choice& choice, time_point now);
// session_turns.cpp
/// Sets in which line the work waits, and how long its answer is useful.
void set_turn(const session_task_state& t, work& w, const session& s);
/// True while the work waits for an endpoint or for its rate.
bool is_queued(const work& w);
/// True if the configuration has priorities. Without them no wait is estimated.
bool has_priorities(const work& w);
/// Refuses queued work whose turn would come too late, and lets it wait longer
/// if its turn comes in time. Does neither without an estimate.
void review_turn(session_task_state& t, service_group& g, const work_ptr& w,
                 refusal_cause cause);
/// Reviews all work that waits for endpoints, every turn_review_interval.
void review_waiting(session_task_state& t, time_point now);
/// Records how long the endpoints took for a statement or transaction that is
/// served.
void record_usual_time(service_group& g, session& s, const work& w,
                       time_point now);

// session_log.cpp
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
/// Logs that no lease proved the acknowledgement of this commit.
void log_unproven(const work& w, const std::optional<log_position>& position);
/// Logs that the work may wait until its answer is no longer useful.
void log_wait_extended(const work& w, std::string_view evidence);

// session_links.cpp
/// How a statement ends whose connection, to an endpoint or a home, was lost.
struct lost_statement
{
    session_fault m_fault = session_fault::busy;
    bool m_may_be_retried = false;
    std::string_view m_detail;
};
/// `begun`: its transaction had begun on that connection.
lost_statement judge_lost_statement(const work& w, bool begun);
/// Returns an idle connection for the workspace, or opens one, in place of an
/// idle connection if the limit is reached; null if neither is possible.
link_ptr obtain_link(session_task_state& t, endpoint_pool& p,
                     std::string_view workspace, const session* values);
/// True if obtain_link would return a connection now.
bool can_obtain_link(const endpoint_pool& p, std::string_view workspace);
bool has_idle_link(const endpoint_pool& p, std::string_view workspace);
/// Fires an event in the state chart of the connection.
void apply_link_event(session_task_state& t, link& k, link_event event);
/// Appends a reply of this kind to the replies that the connection expects.
void expect_reply(link& k, expected_reply_kind kind);
/// Sends a rollback on the connection; closes it instead if it still expects
/// replies, which would be taken for the reply to the rollback.
void roll_back(session_task_state& t, link& k);
/// Hands an idle connection to waiting work.
void release_link(session_task_state& t, link& k);
void close_link(session_task_state& t, link& k, std::string_view cause);
/// Closes a connection that failed. Its endpoint is avoided for a while if the
/// connection had not been established.
void fail_link(session_task_state& t, link& k, std::string_view cause);
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

// session_endpoints.cpp
/// Sets how many connections to the endpoint this process may have.
void update_connection_budget(session_task_state& t, endpoint_pool& p,
                              time_point now);
/// Records how many connections the endpoint has, of all processes.
void record_connection_count(endpoint_pool& p, std::uint32_t connections,
                             time_point now);
/// Records a reply of any kind: the endpoint is alive, and its log has reached
/// this position.
void record_contact(endpoint_pool& p, time_point requested_at,
                    const std::optional<log_position>& position);
/// Records that the endpoint replied to the cell leader at `replied_at`, and
/// had as many connections.
void record_relayed_contact(endpoint_pool& p, time_point replied_at,
                            std::uint32_t connections);
/// Records that a reply of the endpoint is overdue.
void record_overdue(endpoint_pool& p);
void avoid_endpoint(endpoint_pool& p, std::string_view cause);
/// Opens no connection to the endpoint for a while, since it has no room.
void record_full(session_task_state& t, endpoint_pool& p);
/// Records that the endpoint refused a statement, as its slots were all in use.
void record_busy_refusal(session_task_state& t, endpoint_pool& p);
/// Handles the end of a connection that wasn't established.
void record_refused_connection(session_task_state& t, const link& k);

// session_relay.cpp
/// True if this process asks the endpoints of all groups for their status: it
/// leads its cell, or the fleet has no cells.
bool asks_endpoints(const session_task_state& t, time_point now);
/// Notes that a statement here or in the cell uses the group: what is known of
/// it is kept current for some time.
void note_use(service_group& g, time_point now);
/// True if this process asks the endpoints of a group in use though it hears of
/// it from the cell leader, as that gave no lease for own_request_delay.
bool must_ask_itself(const service_group& g, time_point now);
/// Asks the cell leader for the groups in use; a cell leader asks those of the
/// other cells for groups whose lease it can't renew.
void tick_relay(session_task_state& t, time_point now);
void apply_group_response(session_task_state& t, const group_response& m);
/// Answers another process of the cell.
void answer_peer_groups(session_task_state& t, const incoming_group_request& m);

// session_groups.cpp
void update_groups(session_task_state& t);
void ask_statuses(session_task_state& t, time_point now);
void ask_status(session_task_state& t, link& k);
void handle_status(session_task_state& t, link& k, const expected_reply& e);
void report_primaries(session_task_state& t, time_point now);
/// Logs a change of the group's primary, if there is one.
void log_primary_change(session_task_state& t, service_group& g);

// session_rates.cpp
void update_rates(session_task_state& t);
void apply_fleet(session_task_state& t, const fleet_changed& m);
enum class rate_decision : std::uint8_t
{
    admitted,
    waits,
    refused,
};
/// Judges what admit_operation would do with the work, and takes no token.
rate_verdict judge_rate(const session_task_state& t, std::string_view workspace,
                        const work& w, time_point now);
/// Counts one operation against the workspace's rate. Waiting work is
/// dispatched or refused later.
rate_decision admit_operation(session_task_state& t, std::string_view workspace,
                              const work_ptr& w);
void apply_peer_demand(session_task_state& t, const peer_demand_changed& m);
/// True if this process divides the limits, for itself or as the leader of its
/// cell.
bool controls_rates(const session_task_state& t, time_point now);
/// Decays the count of recent arrivals.
void decay_arrivals(workspace_rate& r, time_point now);
/// Takes one token from the local bucket, if there is one.
bool admit_one(workspace_rate& r, time_point now);
/// Refuses work that waits for the rate.
void refuse_waiting(session_task_state& t, const work_ptr& w,
                    std::string evidence);
bool has_waiting_work(const workspace_rate& r);
/// Lets the work wait for a token of the rate.
void await_token(workspace_rate& r, work& w, time_point now);
/// Dispatches the work that is next to get a token, if any waits. The token has
/// been taken.
void admit_next(session_task_state& t, workspace_rate& r, time_point now);
/// Refuses the work that waits for a token and may not wait beyond `until`.
void refuse_expired(session_task_state& t, workspace_rate& r, time_point until,
                    const std::function<std::string(const work&)>& evidence);

/// Resets the known demand and the buckets, as in a process that has just
/// started.
void reset_division(session_task_state& t, std::string_view self,
                    time_point now);

/// Returns what the workspace's limit permits beyond its rate and burst. Within
/// it, processes that start admit operations.
rate_excess excess_of(const session_task_state& t, const workspace_rate& r);

// session_tokens.cpp
/// Estimates the time until the bucket has a token for each refused operation.
duration time_until_tokens(const workspace_rate& r, std::uint32_t refused);
/// Ends the use of this process's own credit; `cause` is logged.
void end_cold_start(session_task_state& t, std::string_view cause);
/// Admits one operation from this process's own credit for the time until it
/// knows a cell leader, if some is left.
bool admit_from_own_credit(session_task_state& t, std::string_view workspace,
                           workspace_rate& r, time_point now);
/// Lets the work wait for a cell leader as long as one can be elected in time.
void extend_wait_for_leader(const session_task_state& t, work& w);
/// Starts or stops managing the cell's rates as its leader.
void apply_cell_leadership(session_task_state& t, const cell_leadership& m);
/// Requests a token from the cell leader; the work waits for the response.
void await_leader_tokens(session_task_state& t, workspace_rate& r,
                         const work_ptr& w);
void apply_token_response(session_task_state& t, const token_response& m);
/// Answers a token request of another process of the cell.
void answer_peer_tokens(session_task_state& t, const incoming_token_request& m);
/// Sends due token requests and refuses work that has waited too long.
void tick_tokens(session_task_state& t, time_point now);
void tick_rates(session_task_state& t, time_point now);

// session_transfers.cpp
/// True if cell leaders transfer tokens of this workspace to each other.
bool uses_transfers(const session_task_state& t, const workspace_rate& r);
/// As a cell leader, asks other cells for the tokens that its cell lacks.
void request_transfers(session_task_state& t, time_point now);
void apply_transfer(session_task_state& t, const token_transfer& m);
/// Takes spare tokens for another cell; returns how many.
std::uint32_t give_tokens(session_task_state& t, workspace_rate& r,
                          std::uint32_t wanted, time_point now);

// session_counts.cpp
void count_outcome(session_task_state& t, const session& s, session_outcome o);
void count_sent(session_task_state& t, const link& k, const work& w,
                bool reads);
void count_served(session_task_state& t, const session& s, const work& w);
/// Counts work that is refused before it was sent.
void count_refusal(session_task_state& t, const work& w, refusal_cause cause);
metric_families collect_session_metrics(const session_task_state& t);
void count_fault(session_task_state& t, session_fault fault);

// session_usage.cpp
/// Counts a statement that is being sent as a request, if it is one; e is the
/// reply that it awaits.
void count_request(session_task_state& t, const link& k, const work& w,
                   expected_reply& e);
/// Takes back a statement that the endpoint refused before running it.
void take_back_request(session_task_state& t, const link& k,
                       const expected_reply& e);
/// Tells the site task the counts that have changed.
void tick_usage(session_task_state& t, time_point now);

// session_stop.cpp
void begin_stop(session_task_state& t);
void tick_stop(session_task_state& t, time_point now);
/// Closes a session that has just been answered and is at rest, if the process
/// is stopping and the load balancer has noticed.
void close_if_stopping(session_task_state& t, session& s);

}

#endif
