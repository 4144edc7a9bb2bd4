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

/// What the tasks of one process on a site tell each other;
/// docs/design/platform.md draws who sends what to whom.

/// site → session, failover, life: this configuration is in force.
struct config_changed
{
    site_config_ptr m_config;
};

/// site → session, failover: the endpoints, and the evacuated zones.
struct endpoints_changed
{
    endpoint_snapshot_ptr m_snapshot;
};

/// site → session: among whom the fleet's limits are divided.
struct fleet_changed
{
    std::string m_self; ///< This process's cell.
    std::set<std::string, std::less<>> m_cells;
    std::size_t m_processes = 0; ///< Of all cells.
    bool m_kept = false; ///< Cells have keepers; false: each is one process.
};

/// site → session: this process keeps its cell's rates until then; a new
/// incarnation begins with nothing.
struct rates_kept
{
    std::uint64_t m_incarnation = 0;
    time_point m_until{}; ///< Zero: it doesn't.
};

/// Operations of one workspace that are asked for or given.
struct workspace_tokens
{
    std::string m_workspace;
    std::uint32_t m_count = 0;
    duration m_wait{}; ///< When given: until there may be more.
};

/// session → site: asks the cell's keeper.
struct tokens_wanted
{
    std::vector<workspace_tokens> m_tokens;
};

/// site → session: the keeper's answer.
struct tokens_given
{
    bool m_reached = false; ///< False: there is none, or it didn't answer.
    std::vector<workspace_tokens> m_tokens;
};

/// site → session: another process of the cell asks this one, its keeper.
struct tokens_asked
{
    exchange_id m_exchange;
    std::vector<workspace_tokens> m_tokens;
};

/// session → site: the answer to it.
struct tokens_answered
{
    exchange_id m_exchange;
    bool m_kept = false; ///< False: this process isn't the keeper any more.
    std::vector<workspace_tokens> m_tokens;
};

/// session → site: what this process needs of the workspaces' rates.
struct weights_told
{
    demand_telling m_telling;
    bool m_urgent = false;           ///< Work waits for a larger part.
    std::uint64_t m_incarnation = 0; ///< Of rates_kept, if cells have keepers.
};

/// site → session: what a peer needs.
struct weights_heard
{
    std::string m_peer;
    demand_news m_news;
};

/// failover → session: report what you see of primaries, or stop.
struct reports_wanted
{
    bool m_wanted = false;
};

/// session → failover: how one group's primary is doing.
struct primary_report
{
    std::string m_service;
    std::string m_primary; ///< Empty: none is known.
    term_number m_term = 0;
    primary_evidence m_evidence;
};

/// site → session: a peer's process has ended.
struct peer_ended
{
    std::string m_peer;
};

/// failover → session: an endpoint was seen to lead this term.
struct primary_promoted
{
    std::string m_service;
    std::string m_endpoint;
    endpoint_status m_status;
    time_point m_asked_at{};
};

/// life → every task: the process is to end within its grace.
struct stop_begun
{
};

/// session, failover → life: nothing of mine is left to finish.
struct stop_done
{
    std::string m_task;
};

/// life → site: the other tasks are done; tell the peers.
struct process_ending
{
};

/// life → every task: end now.
struct task_stop
{
};

/// life → session, site, failover: say what you count.
struct counts_wanted
{
};

/// The answer to it.
struct counts_given
{
    std::string m_task;
    metric_families m_families;
};

/// The settings file was read again.
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

/// Messages that a mailbox holds before new work is refused.
inline constexpr std::size_t site_mailbox_bound = 4096;

/// The mailboxes through which the tasks reach each other.
struct site_mailboxes
{
    mailbox<session_message> m_session{site_mailbox_bound};
    mailbox<site_message> m_site{site_mailbox_bound};
    mailbox<failover_message> m_failover{site_mailbox_bound};
    mailbox<life_message> m_life{site_mailbox_bound};
};

}

#endif
