#ifndef BLUEBELLSPOKE_SESSION_SESSION_MESSAGES_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_MESSAGES_HPP

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <decide/demand_share.hpp>
#include <decide/explanation.hpp>
#include <decide/relay_changes.hpp>
#include <decide/site_clock.hpp>
#include <decide/takeover.hpp>
#include <decide/usage_report.hpp>
#include <model/relayed_group.hpp>
#include <model/site.hpp>
#include <model/usage.hpp>
#include <report/metric.hpp>
#include <task/mailbox.hpp>
#include <wire/http2_server.hpp>

namespace bluebellspoke
{

/// Messages between the tasks of one process; docs/design/platform.md shows
/// their senders and receivers.

/// site → session, failover, life: the configuration that now applies.
struct config_changed
{
    site_config_ptr m_config;
};

/// site → session, failover: the known endpoints and the evacuated zones.
struct endpoints_changed
{
    endpoint_snapshot_ptr m_snapshot;
};

/// site → session: the cells and processes that share the fleet's limits.
struct fleet_changed
{
    std::string m_self; ///< Cell of this process.
    std::set<std::string, std::less<>> m_cells;
    std::size_t m_process_count = 0; ///< Number of processes in all cells.
    bool m_has_cell_leaders =
        false; ///< Cells have leaders; if false, each is one process.
};

/// site → session: whether this process is its cell's leader, and until when.
/// Rates and demand start empty for each new incarnation.
struct cell_leadership
{
    std::uint64_t m_incarnation = 0;
    time_point m_valid_until{}; ///< Zero if it isn't the leader.
};

/// Rate tokens of one workspace, requested or granted; a token admits one
/// operation.
struct workspace_tokens
{
    std::string m_workspace;
    std::uint32_t m_count = 0;
    duration m_wait{}; ///< In a response: time until more may be available.
};

/// session → site: requests tokens from the cell leader.
struct token_request
{
    std::vector<workspace_tokens> m_tokens;
};

/// site → session: the response of the cell leader.
struct token_response
{
    /// False if there is no leader or it didn't answer.
    bool m_is_answered = false;
    std::vector<workspace_tokens> m_tokens;
};

/// site → session: another process of the cell requests tokens from this one,
/// the cell leader.
struct incoming_token_request
{
    exchange_id m_exchange;
    std::vector<workspace_tokens> m_tokens;
    bool m_from_other_cell = false; ///< Its leader requests spare tokens.
};

/// session → site: the response to a request of another process.
struct outgoing_token_grant
{
    exchange_id m_exchange;
    bool m_is_leader =
        false; ///< False if this process isn't the leader any more.
    std::vector<workspace_tokens> m_tokens;
};

/// session → site: as a cell leader, requests spare tokens from another cell.
struct token_transfer_request
{
    std::string m_zone;
    std::vector<workspace_tokens> m_tokens;
};

/// site → session: the response of the other cell's leader.
struct token_transfer
{
    std::string m_zone;
    std::vector<workspace_tokens> m_requested;
    std::vector<workspace_tokens> m_granted; ///< Empty if it didn't answer.
};

/// Whom a process asks for what is known of groups.
enum class group_source : std::uint8_t
{
    own_leader,    ///< The leader of its cell.
    other_leaders, ///< As a cell leader, those of the other cells.
};

/// session → site: asks for what others know of these groups.
struct group_request
{
    group_source m_source = group_source::own_leader;
    std::vector<relay_query> m_queries;
    time_point m_requested_at{};
};

/// site → session: the answer of a cell leader.
struct group_response
{
    time_point m_requested_at{};
    /// What was asked for; empty if no leader answered.
    std::vector<relay_query> m_queries;
    std::vector<relayed_group> m_groups;   ///< In full.
    std::vector<relayed_change> m_changes; ///< Of m_queries, by index.
    std::uint64_t m_source = 0;  ///< The leader; 0: of an earlier build.
    std::uint64_t m_version = 0; ///< Of its answer.
};

/// site → session: a process of the cell, or the leader of another one, asks
/// this one, the cell leader.
struct incoming_group_request
{
    exchange_id m_exchange;
    std::vector<std::string> m_services;
    bool m_from_other_cell = false;
    /// For each service, the version of this process's answer of which the
    /// other one still has the content; 0 for those that are missing.
    std::vector<std::uint64_t> m_versions;
    /// Indices of the services whose lease is wanted also if it hasn't changed.
    std::vector<std::uint32_t> m_leases;
};

/// session → site: the answer to a request of another process.
struct outgoing_groups
{
    exchange_id m_exchange;
    bool m_is_leader =
        false; ///< False if this process isn't the leader any more.
    std::uint64_t m_version = 0;
    std::vector<relayed_group> m_groups; ///< In full.
    std::vector<relayed_change> m_changes;
};

/// session → site: the demand of this process for the workspaces' rates.
struct local_demand_changed
{
    demand_announcement m_announcement;
    bool m_urgent = false; ///< Work is waiting for a larger share.
    /// Incarnation of cell_leadership, if cells have leaders.
    std::uint64_t m_incarnation = 0;
};

/// site → session: the demand of a peer.
struct peer_demand_changed
{
    std::string m_peer;
    demand_update m_update;
};

/// failover → session: starts or stops the reports on primaries.
struct reporting_changed
{
    bool m_enabled = false;
};

/// session → failover: the observed state of one group's primary.
struct primary_report
{
    std::string m_service;
    std::string m_primary; ///< Empty if none is known.
    term_number m_term = 0;
    primary_evidence m_evidence;
    /// Replicas whose last status showed them paused.
    std::vector<std::string> m_paused_replicas;
    /// The synchronous replicas have all that the primary had then; zero: not
    /// known.
    time_point m_replicated_until{};
};

/// site → session: the process of a peer has ended.
struct peer_ended
{
    std::string m_peer;
};

/// failover → session: an endpoint was seen to be the primary of this term.
struct primary_promoted
{
    std::string m_service;
    std::string m_endpoint;
    endpoint_status m_status;
    /// When the status was requested: its position proves nothing later.
    time_point m_requested_at{};
};

/// session → site: the requests that this process sent; without the names of
/// the process and its incarnation.
struct usage_counted
{
    usage_summary m_summary;
};

/// site → session, usage: what the cell, or the fleet, takes for true time.
struct true_time_changed
{
    clock_offset m_offset{};
};

/// site → usage: whether this process may hold the usage duty.
struct usage_candidacy
{
    bool m_is_candidate = false;
};

/// site → failover: whether this process competes for the failover duty.
struct failover_candidacy
{
    bool m_is_candidate = true;
};

/// usage → site: whether this process holds the usage duty.
struct usage_duty_changed
{
    bool m_is_held = false;
    std::optional<window_id> m_last_window; ///< The last that was reported.
};

/// site → usage: the requests of the whole fleet, for the holder of the duty.
struct usage_collected
{
    collected_windows m_windows;
};

/// life → every task: the shutdown has begun; work must end within the grace
/// period.
struct stop_begun
{
};

/// session → life: callers' connections are accepted from now on.
struct accepting_callers
{
};

/// session, failover, usage → life: the task has no unfinished work.
struct stop_done
{
    std::string m_task;
};

/// life → site: the other tasks are done; the peers can be told.
struct process_ending
{
};

/// life → every task: leave the event loop at once.
struct task_stop
{
};

/// life → session, site, failover, usage: requests the metrics of the task.
struct metrics_request
{
};

/// session, site, failover, usage → life: the requested metrics.
struct metrics_response
{
    std::string m_task;
    metric_families m_families;
};

/// A process of the fleet that accepts sessions of other processes.
struct session_member
{
    std::string m_name;
    std::string m_zone;
    double m_cores = 0; ///< Cores of its VM; 0: unknown.
    address m_address;  ///< Where it accepts them.
};

/// site → session: the processes of the fleet that may be homes of sessions.
struct members_changed
{
    std::vector<session_member> m_members;
};

/// life → session: asks where a request would go now.
struct explain_request
{
    std::uint64_t m_exchange = 0;
    explain_query m_query;
};

/// session → life: the answer to the request with the same exchange.
struct explain_response
{
    std::uint64_t m_exchange = 0;
    explain_result m_result;
};

/// The settings file was reloaded.
struct settings_changed
{
    site_settings m_settings;
};

using session_message =
    std::variant<settings_changed, config_changed, endpoints_changed,
                 fleet_changed, cell_leadership, token_response, token_transfer,
                 incoming_token_request, group_response, incoming_group_request,
                 peer_demand_changed, peer_ended, reporting_changed,
                 primary_promoted, stop_begun, metrics_request, task_stop,
                 members_changed, true_time_changed, explain_request>;
using site_message =
    std::variant<settings_changed, local_demand_changed, token_request,
                 token_transfer_request, outgoing_token_grant, group_request,
                 outgoing_groups, stop_begun, process_ending, metrics_request,
                 task_stop, usage_counted, usage_duty_changed>;
using failover_message =
    std::variant<config_changed, endpoints_changed, primary_report, stop_begun,
                 metrics_request, task_stop, failover_candidacy>;
using usage_message =
    std::variant<true_time_changed, usage_candidacy, usage_collected,
                 stop_begun, metrics_request, task_stop>;
using life_message =
    std::variant<config_changed, accepting_callers, stop_done, metrics_response,
                 task_stop, explain_response>;

/// Capacity of a mailbox, in messages; new work is refused when it is full.
inline constexpr std::size_t site_mailbox_capacity = 4096;

/// The mailboxes of the tasks of one process.
struct site_mailboxes
{
    mailbox<session_message> m_session{site_mailbox_capacity};
    mailbox<site_message> m_site{site_mailbox_capacity};
    mailbox<failover_message> m_failover{site_mailbox_capacity};
    mailbox<life_message> m_life{site_mailbox_capacity};
    /// Nobody reads it in a deployment without usage reports.
    mailbox<usage_message> m_usage{site_mailbox_capacity};
};

}

#endif
