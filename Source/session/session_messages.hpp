#ifndef BLUEBELLSPOKE_SESSION_SESSION_MESSAGES_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_MESSAGES_HPP

#include <set>
#include <string>
#include <variant>
#include <vector>

#include <decide/demand_share.hpp>
#include <decide/takeover.hpp>
#include <model/site.hpp>
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
    std::size_t m_processes = 0; ///< Number of processes in all cells.
    bool m_kept = false; ///< Cells have leaders; if false, each is one process.
};

/// site → session: whether this process is its cell's leader, and until when.
/// Rates and demand start empty for each new incarnation.
struct rates_kept
{
    std::uint64_t m_incarnation = 0;
    time_point m_until{}; ///< Zero if it isn't the leader.
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
struct tokens_wanted
{
    std::vector<workspace_tokens> m_tokens;
};

/// site → session: the response of the cell leader.
struct tokens_given
{
    /// False if there is no leader or it didn't answer.
    bool m_reached = false;
    std::vector<workspace_tokens> m_tokens;
};

/// site → session: another process of the cell requests tokens from this one,
/// the cell leader.
struct tokens_asked
{
    exchange_id m_exchange;
    std::vector<workspace_tokens> m_tokens;
};

/// session → site: the response to a request of another process.
struct tokens_answered
{
    exchange_id m_exchange;
    bool m_kept = false; ///< False if this process isn't the leader any more.
    std::vector<workspace_tokens> m_tokens;
};

/// session → site: the demand of this process for the workspaces' rates.
struct weights_told
{
    demand_telling m_telling;
    bool m_urgent = false; ///< Work is waiting for a larger share.
    /// Incarnation of cell_leadership, if cells have leaders.
    std::uint64_t m_incarnation = 0;
};

/// site → session: the demand of a peer.
struct weights_heard
{
    std::string m_peer;
    demand_news m_news;
};

/// failover → session: starts or stops the reports on primaries.
struct reports_wanted
{
    bool m_wanted = false;
};

/// session → failover: the observed state of one group's primary.
struct primary_report
{
    std::string m_service;
    std::string m_primary; ///< Empty if none is known.
    term_number m_term = 0;
    primary_evidence m_evidence;
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
    time_point m_asked_at{};
};

/// life → every task: the shutdown has begun; work must end within the grace
/// period.
struct stop_begun
{
};

/// session, failover → life: the task has no unfinished work.
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

/// life → session, site, failover: requests the metrics of the task.
struct counts_wanted
{
};

/// session, site, failover → life: the requested metrics.
struct counts_given
{
    std::string m_task;
    metric_families m_families;
};

/// The settings file was reloaded.
struct settings_changed
{
    site_settings m_settings;
};

using session_message =
    std::variant<settings_changed, config_changed, endpoints_changed,
                 fleet_changed, rates_kept, tokens_given, tokens_asked,
                 weights_heard, peer_ended, reports_wanted, primary_promoted,
                 stop_begun, counts_wanted, task_stop>;
using site_message =
    std::variant<settings_changed, weights_told, tokens_wanted, tokens_answered,
                 stop_begun, process_ending, counts_wanted, task_stop>;
using failover_message =
    std::variant<config_changed, endpoints_changed, primary_report, stop_begun,
                 counts_wanted, task_stop>;
using life_message =
    std::variant<config_changed, stop_done, counts_given, task_stop>;

/// Capacity of a mailbox, in messages; new work is refused when it is full.
inline constexpr std::size_t site_mailbox_bound = 4096;

/// The mailboxes of the tasks of one process.
struct site_mailboxes
{
    mailbox<session_message> m_session{site_mailbox_bound};
    mailbox<site_message> m_site{site_mailbox_bound};
    mailbox<failover_message> m_failover{site_mailbox_bound};
    mailbox<life_message> m_life{site_mailbox_bound};
};

}

#endif
