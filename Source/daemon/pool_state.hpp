#ifndef BLUEBELLSPOKE_DAEMON_POOL_STATE_HPP
#define BLUEBELLSPOKE_DAEMON_POOL_STATE_HPP

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/intrusive/list.hpp>

#include <daemon/daemon_settings.hpp>
#include <daemon/messages.hpp>
#include <daemon/pool_charts.hpp>
#include <daemon/pool_metrics.hpp>
#include <decide/connection_ledger.hpp>
#include <decide/fair_queue.hpp>
#include <decide/loan_request_round.hpp>
#include <decide/polling_intervals.hpp>
#include <decide/promotion.hpp>
#include <decide/replication_health.hpp>
#include <decide/retry_budget.hpp>
#include <decide/routing.hpp>
#include <decide/service_time.hpp>
#include <decide/share.hpp>
#include <endpoint/pg_connection.hpp>

namespace bluebellspoke
{

struct pool_state;
struct pool_group;
struct pool_endpoint;
struct pooled_connection;
struct transaction;

using group_hook = boost::intrusive::list_base_hook<
    boost::intrusive::tag<struct group_tag>,
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One request in the pool, from its arrival to its outcome.
struct request : fair_queue_hook, group_hook
{
    request(pool_state& p, pool_group& g, pool_request&& arrived);

    pool_state& m_pool;
    pool_group& m_group;
    pool_request m_arrived;
    request_state m_state;
    std::string m_bound; ///< Statement with its parameters.
    routing_requirements m_need;
    pooled_connection* m_connection = nullptr; ///< While it runs.
    transaction* m_transaction = nullptr;      ///< Of begin, or named.
    term_number m_term = 0;                    ///< That it was handed over in.
    unsigned m_attempts = 0;
    bool m_in_doubt = false; ///< An earlier attempt may have taken effect.
    time_point m_handed_over_at{};
    time_point m_answered_at{}; ///< By the endpoint.
    answer m_answer;
    std::optional<refusal_error> m_refusal;
    timer m_deadline;
};

using confirming_list =
    boost::intrusive::list<request, boost::intrusive::base_hook<group_hook>,
                           boost::intrusive::constant_time_size<false>>;

/// One connection to an endpoint, for statements.
struct pooled_connection
{
    pool_endpoint& m_endpoint;
    std::unique_ptr<pg_connection> m_pg;
    request* m_request = nullptr;         ///< Null: idle, or given up on.
    transaction* m_transaction = nullptr; ///< It belongs to, if any.
    bool m_running = false;               ///< Takes a slot.
    time_point m_heard_at{};              ///< When it last had an answer.
};

/// A caller's transaction, held between its requests.
struct transaction
{
    transaction(pool_state& p, pool_group& g, std::string id);

    pool_state& m_pool;
    pool_group& m_group;
    std::string m_id;
    std::string m_workspace;
    std::optional<sha256_digest> m_key; ///< That began it.
    transaction_state m_state;
    pooled_connection* m_connection = nullptr;
    term_number m_term = 0;
    timer m_idle_limit;
};

/// One order to an endpoint, on a connection of its own.
struct endpoint_order
{
    std::string m_query;
    pg_done m_done; ///< Called with the answer; not called when none came.
    time_point m_sent_at{};
    std::unique_ptr<pg_connection> m_pg;
};

/// One endpoint: its connections, what it last said, and who asks it.
struct pool_endpoint
{
    pool_endpoint(pool_group& g, endpoint_setting setting);

    pool_group& m_group;
    endpoint_setting m_setting;
    endpoint_view m_view;
    endpoint_lifecycle m_life = endpoint_lifecycle::joining;
    time_point m_returned_at{};
    std::uint32_t m_slot_share = 0;       ///< When it has wholly returned.
    std::uint32_t m_connection_limit = 0; ///< The endpoint's, whole fleet.
    connection_ledger m_book;             ///< This daemon's part of them.
    bool m_short = false; ///< A request found no connection lately.
    loan_request_round m_round;
    std::vector<time_point> m_closed_at; ///< Connections, of late.
    std::vector<std::unique_ptr<pooled_connection>> m_connections;
    std::unique_ptr<pg_connection> m_monitor;
    bool m_reachable = false;
    time_point m_known_since = monotonic_clock::now();
    std::optional<time_point> m_heard_at; ///< As voter::m_last_contact_at.
    std::optional<time_point> m_fed_at;   ///< As voter::m_primary_contact_at.
    time_point m_fresh_until{};  ///< What its reads saw when it was last fed.
    term_number m_told_term = 0; ///< In which it obeyed a follow order.
    std::optional<time_point> m_stray_since;
    time_point m_refollowed_at{};            ///< Ordered anew, as it was cut.
    std::unique_ptr<endpoint_order> m_order; ///< Under way.
    timer m_silence;   ///< The monitor's question has waited too long.
    timer m_poll;      ///< Asks for the state again.
    timer m_reconnect; ///< After the monitor's connection ended.
};

/// What this daemon does about one group's primary.
struct primary_watch
{
    primary_watch(pool_state& p, pool_group& g);

    group_state m_state;
    election m_election;
    replication_health m_feeding;
    /// The leader that is to be replaced, as its replicas are cut from it.
    std::optional<std::size_t> m_starved;
    std::size_t m_winner = 0;
    term_number m_last_term = 0;     ///< Tried by this daemon.
    term_number m_promoted_term = 0; ///< Of its last promotion.
    std::uint64_t m_ticket = 0;      ///< Of the lease last asked for.
    /// End of the lease; absent: this daemon acts without one.
    std::optional<time_point> m_lease_until;
    time_point m_entered_at{};                   ///< The present state.
    time_point m_watched_at = time_point::max(); ///< Last; max: never.
    time_point m_turn_at{};
    time_point m_asked_at{}; ///< For what to begin an election on.
    timer m_tick;
};

/// One database group, as one service's settings name it.
struct pool_group
{
    pool_group(pool_state& p, std::string name);

    pool_state& m_pool;
    std::string m_name;
    std::vector<std::unique_ptr<pool_endpoint>> m_endpoints;
    /// Reads and writes queue apart, by statement_kind: a write that waits for
    /// the primary holds up no read.
    /// What belongs to an open transaction goes first, apart from both: behind
    /// a begin that waits for a connection, no commit could free one.
    std::array<fair_queue, 3> m_queues;
    std::array<service_time, 2> m_needed; ///< By statement_kind.
    retry_budget m_retries;
    confirming_list m_confirming;
    confirming_list m_catching_up; ///< Reads that wait for a replica.
    bool m_dispatching = false;
    primary_watch m_watch;
    time_point m_used_at = monotonic_clock::now(); ///< By a request.
};

/// What the pool task owns; nobody else touches it.
struct pool_state
{
    pool_state(const daemon_settings& daemon, const pool_charts& charts,
               mailboxes& boxes);

    const daemon_settings& m_daemon;
    const pool_charts& m_charts;
    mailboxes& m_boxes;
    loop m_loop;
    resolved_settings_ptr m_settings;
    std::optional<share_entitlement> m_right;
    std::uint64_t m_applied_epoch = 0; ///< Told to the control task.
    std::map<std::string, std::unique_ptr<pool_group>, std::less<>> m_groups;
    std::map<exchange_id, std::unique_ptr<request>> m_requests;
    std::map<std::string, std::unique_ptr<transaction>, std::less<>>
        m_transactions;
    std::map<std::string, zone_lifecycle, std::less<>> m_zones;
    std::uint64_t m_next_transaction = 1;
    pool_counts m_counts;
    bool m_leaving = false; ///< Begins no promotion any more.
    bool m_draining = false;
    std::vector<std::string> m_members; ///< Names of the fleet's daemons.
    std::string m_candidate;            ///< Name and incarnation of this one.
    /// Closed connections wait here until nothing on the stack uses them.
    std::vector<std::unique_ptr<pooled_connection>> m_closed_connections;
    std::vector<std::unique_ptr<pg_connection>> m_closed_monitors;
    std::vector<std::unique_ptr<endpoint_order>> m_closed_orders;
    std::vector<std::unique_ptr<pool_endpoint>> m_closed_endpoints;
    timer m_reaper;
    timer m_return_step;            ///< While a place goes out or returns.
    std::uint64_t m_first_loan = 1; ///< Differs after a restart.
    timer m_loan_tick;              ///< While connections are lent or wanted.
    timer m_silence_tick;
};

// pool_task.cpp
/// Tells the admin task, while draining, that nothing is left to finish.
void report_if_drained(pool_state& p);

// pool_shares.cpp
/// Takes over what an epoch of the fleet gives this daemon.
void take_right(pool_state& p, const share_entitlement& right);
/// Works out the endpoint's connections anew.
void share_connections(pool_endpoint& e);
/// True when no more is open than the share.
bool fits_share(const pool_endpoint& e);
/// True while a statement or a transaction has the connection.
bool is_busy(const pooled_connection& c) noexcept;
/// A connection that is ready and that nothing has, or null.
pooled_connection* find_idle(const pool_endpoint& e);
/// Closes idle connections beyond the share; busy ones follow once idle, or
/// when the time that they have for it is over.
void return_connections(pool_endpoint& e);
/// Connections for statements, those included whose close is on its way.
std::uint32_t count_open(const pool_endpoint& e);
connection_usage use_of(const pool_endpoint& e);
/// Tells the control task once all that is open fits the newest epoch; only
/// when every endpoint has been given its part of it.
void report_applied(pool_state& p);

// pool_loans.cpp
/// A request found no connection: asks peers for some of theirs.
void note_shortage(pool_endpoint& e);
void lend_to_peer(pool_state& p, const incoming_loan_request& asked);
void take_loan(pool_state& p, const incoming_loan& arrived);
/// Brings every endpoint's connections up to now; again while there is need.
void tend_loans(pool_state& p);

// pool_silence.cpp
/// Lets the endpoints hear of connections that have been silent for a while,
/// so that they don't end them; and again after a period.
void break_silence(pool_state& p);

// pool_settings.cpp
/// Fits groups and endpoints to the configuration in force.
void apply_settings(pool_state& p, resolved_settings_ptr settings);
std::string describe_pool(const pool_state& p);

// pool_places.cpp
/// Decides anew whether an endpoint takes new work, and how much.
void update_admission(pool_endpoint& e);
/// Moves the lives of the availability zones on.
void move_zones(pool_state& p);
/// Gives what returns its next part of the work.
void step_returns(pool_state& p);

// pool_keys.cpp
/// Throws refused when the request's key has been withdrawn meanwhile.
void check_key(const pool_state& p, const pool_request& r);
/// Ends requests and transactions of keys that no longer stand.
void end_withdrawn_keys(pool_state& p);
/// Refuses all that is left when a drain's limit has passed.
void cut_work(pool_state& p);

// pool_requests.cpp
/// Takes a request in; its outcome follows as a message to the front.
void accept_request(pool_state& p, pool_request&& arrived);
void abandon_request(pool_state& p, exchange_id exchange);
/// True for a statement outside of any transaction of the caller's.
bool stands_alone(const pool_request& r) noexcept;
/// Moves a request's life on; may end and destroy it.
void fire(request& r, request_event event);
/// Refuses a request; the chart says what became of its work.
void fail(request& r, refusal code, refusal_outcome what_became,
          std::string detail = {});
/// Lets reads go on for which a replica has caught up, or that waited enough.
void wake_reads(pool_group& g);
/// Acknowledges the writes that a majority holds by now.
void confirm_requests(pool_group& g);

// pool_admission.cpp
/// Whose turn a request takes in the queue, and at what weight.
struct queue_flow_key
{
    std::string_view m_name;
    double m_weight = 1;
};
queue_flow_key flow_key(const pool_state& p, const pool_request& r);
fair_queue& queue_for(pool_group& g, const pool_request& r);
/// Throws refused when the request would wait in vain.
void check_queue(pool_group& g, const pool_request& r);
/// True when the request's turn has come too late for an answer in time.
bool comes_too_late(const request& r);
/// Keeps what comes_too_late() goes by.
void note_served(request& r);

// pool_dispatch.cpp
/// Hands over every queued request that has its turn and its place.
void dispatch(pool_group& g);
/// A copy of what routing needs to know of each endpoint.
std::vector<endpoint_view> endpoint_views(const pool_group& g);

// pool_replies.cpp
/// Takes what came back for the request on a connection.
void take_reply(pooled_connection& c, pg_reply& reply);
/// Ends or retries a write whose primary was replaced before a majority was
/// known to hold it.
void settle_superseded(request& r);

// pool_endpoints.cpp
/// Unless there is one, or this daemon has no connection for it.
void start_monitor(pool_endpoint& e);
/// Records a newer state and lets requests that waited for it go on.
void learn_state(pool_endpoint& e, const endpoint_state& state);
/// Opens one more connection if the share allows. Returns false otherwise.
bool open_connection(pool_endpoint& e);
/// Asks the endpoint for its state soon because a write waits for it.
void hasten_poll(pool_endpoint& e);
/// The same for every endpoint of a group.
void hasten_polls(pool_group& g);
void close_endpoint(pool_endpoint& e);

// pool_orders.cpp
/// Sends an order on a connection of its own; replaces one under way.
void send_order(pool_endpoint& e, std::string query, pg_done done);
void drop_order(pool_endpoint& e);

// pool_follow.cpp
/// Tells endpoints that follow nobody, or an old primary, to follow the leader.
void gather_strays(pool_group& g, std::span<const voter> voters,
                   time_point now);

// pool_promotion.cpp
/// How long this daemon leaves what a group needs to the others.
duration own_delay(const pool_group& g);
/// How closely the group is watched now.
polling_intervals pace_of(const pool_group& g);
/// A request came for the group.
void note_use(pool_group& g);
/// Looks after a group's primary, and again after a period.
void watch_primary(pool_group& g);
void take_lease_answer(pool_state& p, const lease_answer& m);
/// Leaves every group to the other daemons, if there are any.
void yield_groups(pool_state& p);
/// True while a promotion that this daemon began is under way.
bool is_promoting(const pool_state& p);
/// The group's endpoints are others than before.
void reshape(pool_group& g);

// pool_transactions.cpp
transaction& begin_transaction(pool_state& p, request& r);
/// Finds the transaction that a request names. Throws refused.
transaction& find_transaction(pool_state& p, const pool_request& r);
void fire(transaction& t, transaction_event event);

}

#endif
