#ifndef BLUEBELLSPOKE_DAEMON_MESSAGES_HPP
#define BLUEBELLSPOKE_DAEMON_MESSAGES_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <daemon/daemon_tls.hpp>
#include <decide/rate_share.hpp>
#include <decide/resolved_settings.hpp>
#include <decide/standing.hpp>
#include <model/refusal.hpp>
#include <model/share_kind.hpp>
#include <model/statement.hpp>
#include <peer/loan_messages.hpp>
#include <report/metric.hpp>
#include <task/mailbox.hpp>
#include <wire/http2_server.hpp>

namespace bluebellspoke
{

/// What the tasks of one daemon tell each other. Each task's mailbox takes one
/// variant; docs/DESIGN.md draws who sends what to whom.

enum class request_operation : std::uint8_t
{
    statement,
    begin,
    commit,
    rollback,
};

/// Whom a request runs for; keeps the settings alive that it was admitted by.
struct request_context
{
    exchange_id m_exchange;
    resolved_settings_ptr m_settings;
    const resolved_workspace* m_workspace = nullptr;
    std::optional<sha256_digest> m_key; ///< Absent on a route open to all.
    time_point m_arrived_at{};
};

/// front → pool: run this.
struct pool_request
{
    request_context m_context;
    request_operation m_operation = request_operation::statement;
    statement m_statement;
    std::optional<log_position> m_session;
    time_point m_deadline{};
};

/// front → pool: the caller is gone.
struct request_abandoned
{
    exchange_id m_exchange;
};

/// pool → front: the one outcome of a pool_request.
struct request_outcome
{
    request_context m_context;
    request_operation m_operation = request_operation::statement;
    std::variant<answer, refusal_error> m_result;
    std::optional<log_position> m_session; ///< What the request came with.
    std::string m_transaction;             ///< The id that begin gave out.
};

/// control → front, pool: this configuration is in force.
struct settings_changed
{
    resolved_settings_ptr m_settings;
};

/// control → front: the fleet's secrets for session tokens, newest first.
struct session_secrets
{
    std::vector<std::string> m_secrets;
};

/// control → front, pool: what this daemon may use of the fleet's limits.
struct right_changed
{
    share_entitlement m_right;
};

enum class share_holder : std::uint8_t
{
    front,
    pool,
};

/// front, pool → control: an epoch's shares are kept to.
struct right_applied
{
    share_holder m_holder = share_holder::front;
    std::uint64_t m_epoch = 0;
};

/// control → front, admin: until when the daemon may serve, unless told anew.
struct standing_changed
{
    standing m_standing = standing::lapsed;
    time_point m_until{};
};

/// front, pool → control: goes by this settings version now.
struct settings_taken
{
    bool m_front = false; ///< Else the pool.
    std::uint64_t m_version = 0;
};

/// admin → control: the state of the daemon's life.
struct life_changed
{
    std::string m_state;
};

/// control → pool: the names of the fleet's daemons.
struct members_changed
{
    std::vector<std::string> m_names;
};

/// pool → control: may this daemon promote in the group?
struct lease_wanted
{
    std::string m_group;
    std::string m_candidate; ///< Name and incarnation of this daemon.
    std::uint64_t m_ticket = 0;
};

/// pool → control: the right is no longer needed.
struct lease_released
{
    std::string m_group;
};

enum class lease_verdict : std::uint8_t
{
    granted,
    denied,
    unanswered, ///< The platform is down or slow.
};

/// control → pool: the answer to a lease_wanted.
struct lease_answer
{
    std::string m_group;
    std::uint64_t m_ticket = 0;
    lease_verdict m_verdict = lease_verdict::unanswered;
    time_point m_until{}; ///< End of a granted lease.
};

/// admin → front, control: certificates were read anew.
struct tls_changed
{
    daemon_tls m_tls;
};

/// admin → pool: the daemon is to leave; others look after the groups.
struct leave_begun
{
};

/// pool → control: no group of mine needs a lease any more.
struct leases_given_up
{
};

/// main → every task: finish what is under way and take no more.
struct drain_begun
{
};

/// pool → front: the transaction is no more.
struct transaction_ended
{
    std::string m_id;
};

/// admin → front, pool: the drain's limit has passed; refuse what is left.
struct work_cut
{
};

/// main → every task: end now.
struct stop_wanted
{
};

/// admin → every task: describe your state.
struct dump_wanted
{
    std::uint64_t m_ticket = 0;
};

/// every task → admin: its state as JSON text.
struct state_dump
{
    std::uint64_t m_ticket = 0;
    std::string m_task;
    std::string m_json;
};

/// admin → every task: say what you count.
struct metrics_wanted
{
    std::uint64_t m_ticket = 0;
};

/// every task → admin: what it counts.
struct task_metrics
{
    std::uint64_t m_ticket = 0;
    metric_families m_families;
};

/// front, pool, control → admin: nothing of mine is left to finish.
struct task_drained
{
    std::string m_task;
};

using front_message =
    std::variant<request_outcome, settings_changed, session_secrets,
                 right_changed, incoming_loan_request, incoming_loan,
                 standing_changed, transaction_ended, tls_changed, drain_begun,
                 work_cut, stop_wanted, dump_wanted, metrics_wanted>;
using pool_message =
    std::variant<pool_request, request_abandoned, settings_changed,
                 members_changed, lease_answer, right_changed,
                 incoming_loan_request, incoming_loan, leave_begun, drain_begun,
                 work_cut, stop_wanted, dump_wanted, metrics_wanted>;
using control_message =
    std::variant<right_applied, outgoing_loan_request, outgoing_loan,
                 settings_taken, life_changed, lease_wanted, lease_released,
                 leases_given_up, tls_changed, drain_begun, stop_wanted,
                 dump_wanted, metrics_wanted>;
using admin_message =
    std::variant<state_dump, task_metrics, settings_changed, task_drained,
                 standing_changed, drain_begun, stop_wanted>;

/// The mailboxes through which a daemon's tasks reach each other.
struct mailboxes
{
    explicit mailboxes(std::size_t capacity)
        : m_front(capacity), m_pool(capacity), m_control(capacity),
          m_admin(capacity)
    {
    }

    mailbox<front_message> m_front;
    mailbox<pool_message> m_pool;
    mailbox<control_message> m_control;
    mailbox<admin_message> m_admin;
};

}

#endif
