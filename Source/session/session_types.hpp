#ifndef BLUEBELLSPOKE_SESSION_SESSION_TYPES_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_TYPES_HPP

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

#include <decide/fair_queue.hpp>
#include <decide/group_view.hpp>
#include <decide/rate_bucket.hpp>
#include <model/site.hpp>
#include <session/line_stream.hpp>
#include <session/session_charts.hpp>
#include <session/session_codec.hpp>

namespace bluebellspoke
{

struct session;
struct link;
struct endpoint_port;
struct service_group;

struct session_task_list;
using auto_unlink_hook = boost::intrusive::list_base_hook<
    boost::intrusive::tag<session_task_list>,
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

/// A prepared statement by what it is; its name is the caller's.
struct prepared_statement
{
    bool m_writes = false;
    std::string m_shape;

    friend auto operator<=>(const prepared_statement&,
                            const prepared_statement&) = default;
};

using session_values = std::map<std::string, std::string, std::less<>>;

/// One statement of a caller from its arrival to its answer.
struct work : counted<work>, fair_queue_hook, auto_unlink_hook
{
    session_ptr m_session; ///< Null once the caller has gone.
    std::string m_id;
    std::string m_text;
    statement_kind m_kind = statement_kind::unknown;
    std::optional<prepared_statement> m_prepared; ///< Of EXECUTE.
    std::string m_rest;                           ///< Of EXECUTE.
    bool m_writes = false;
    bool m_needs_primary = false;
    bool m_first_of_transaction = false;
    time_point m_arrived_at{}; ///< Of it, or of its transaction's begin.
    time_point m_asked_at{};   ///< When the caller sent this statement.
    time_point m_deadline{};   ///< Of the statement.
    time_point m_wait_until{}; ///< It is refused if it wasn't sent by then.
    time_point m_sent_at{};    ///< Zero until it was.
    time_point m_attempt_until{};
    time_point m_resend_at{}; ///< Zero: it isn't to be sent again.
    std::uint32_t m_attempts = 0;
    std::set<std::string, std::less<>> m_tried; ///< Endpoints that refused it.
    link_ptr m_link;
    bool m_waits_for_rate = false;
    std::string m_evidence; ///< What a refusal rested on, for the log.
    std::string m_answer;   ///< Rows and completion, as they came.
};

using work_ptr = boost::intrusive_ptr<work>;

/// A transaction of a session.
struct session_transaction
{
    bool m_reads_only = false;
    bool m_wrote = false;
    bool m_lost = false; ///< Its connection broke; the caller isn't told yet.
    time_point m_began_at{};
    time_point m_idle_since{};
    link_ptr m_link; ///< Null until its first statement.
};

/// A caller's connection.
struct session : counted<session>, auto_unlink_hook
{
    std::uint64_t m_number = 0;
    std::unique_ptr<line_stream> m_stream;
    session_state m_state = session_state::starting;
    std::string m_database;
    std::string m_key;
    site_config_ptr m_config; ///< That the operation under way goes by.
    const site_route* m_route = nullptr;
    std::string m_workspace; ///< Empty on a public route.
    session_values m_values;
    std::map<std::string, prepared_statement, std::less<>> m_prepared;
    std::optional<log_position> m_own; ///< Of its last commit.
    std::optional<session_transaction> m_transaction;
    work_ptr m_work; ///< The statement under way.
    bool m_finishing = false;
};

/// What the next answer on a link belongs to.
enum class link_answer : std::uint8_t
{
    greeting,
    setup, ///< Values and prepared statements.
    begin,
    statement,
    rollback,
    status,
};

struct expected_answer
{
    link_answer m_kind = link_answer::statement;
    time_point m_asked_at{};
    bool m_failed = false;
    session_fault m_fault = session_fault::other;
    std::string m_row{}; ///< Of a status.
};

/// A connection to an endpoint, for one workspace.
struct link : counted<link>, auto_unlink_hook
{
    endpoint_port* m_port = nullptr;
    std::string m_workspace;
    std::unique_ptr<line_stream> m_stream;
    link_state m_state = link_state::dialing;
    session_values m_values;
    std::set<prepared_statement> m_prepared;
    std::deque<expected_answer> m_expected;
    work_ptr m_work;         ///< What it runs, or is dialed for.
    bool m_begun = false;    ///< In a transaction of the work's session.
    bool m_doubtful = false; ///< Close it instead of using it again.
    time_point m_since{};    ///< Of its state.
};

/// An endpoint, and this process's connections to it.
struct endpoint_port
{
    site_endpoint m_endpoint;
    service_group* m_group = nullptr;
    bool m_listed = true;
    bool m_evacuated = false;
    time_point m_leaving_since{}; ///< Zero: it neither drains nor is evacuated.
    std::string m_region;
    std::uint32_t m_limit = 0; ///< Connections of this process.
    intrusive_list<link> m_links;
    std::uint32_t m_link_count = 0;
    std::uint32_t m_running = 0; ///< Statements sent and not answered.
    double m_answer_ms = 0;      ///< Smoothed time of an answer.
    time_point m_answered_at{};  ///< A statement.
    time_point m_sign_at{};      ///< Last answer of any kind.
    time_point m_avoid_until{};
    duration m_avoid_pause{};
    time_point m_full_until{}; ///< It took no more connections.
    time_point m_busy_until{}; ///< It had no room.
    time_point m_lags_until{}; ///< Its log is too old for reads.
    time_point m_status_asked_at{};
    bool m_status_wanted = false;
};

/// The endpoints of a service and what waits for them.
struct service_group
{
    site_service m_service;
    group_view m_view;
    fair_queue m_queue;
    time_point m_missed_since{}; ///< When its primary was last unknown.
    time_point m_primary_sign{}; ///< Last answer of the primary.
    std::string m_reported;      ///< Primary of the last log line.
};

/// A workspace's rate here, and what waits for it.
struct workspace_rate
{
    rate_bucket m_bucket;
    double m_rate = 0;   ///< Of the whole fleet, operations a second.
    double m_burst = 0;  ///< Of the whole fleet, operations.
    double m_credit = 0; ///< Operations that a new process may begin with.
    double m_recent = 0; ///< Arrivals, each fading with demand_memory.
    time_point m_recent_at{};
    std::deque<work_ptr> m_waiting;
    time_point m_ask_at{}; ///< The keeper isn't asked for it before.
};

}

#endif
