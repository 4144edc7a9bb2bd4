#ifndef BLUEBELLSPOKE_PEER_PEER_MESSAGE_HPP
#define BLUEBELLSPOKE_PEER_PEER_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <model/relayed_group.hpp>
#include <model/share_kind.hpp>
#include <model/usage.hpp>
#include <peer/text_delta.hpp>

namespace bluebellspoke
{

/// Messages between daemons. Each request uses its own HTTP/2 stream and is
/// answered by one message on that stream.

/// Announces that a daemon is running, with the state that it knows.
struct peer_heartbeat
{
    std::string m_name;              ///< Name of the sender's VM.
    std::uint64_t m_incarnation = 0; ///< Differs after each restart.
    std::uint64_t m_settings_version = 0;
    bool m_platform_is_available = false;
    /// Time since the settings were last known to be current.
    std::uint64_t m_confirmed_age_ms = 0;
    bool m_draining = false;
    std::uint64_t m_epoch = 0;         ///< Newest known fleet epoch.
    std::uint64_t m_applied_epoch = 0; ///< Epoch of the shares in use.
    std::uint64_t m_epoch_confirmed_age_ms = 0;
    bool m_epoch_platform_is_available =
        false;             ///< The last epoch query succeeded.
    std::string m_address; ///< Address of the sender for peers, IP:port.
    std::string m_zone;
};

/// The demand for one workspace at the sender.
struct peer_workspace_demand
{
    std::string m_workspace;
    std::uint32_t m_operations_per_10s = 0; ///< Operations per 10 s.
};

/// What a process on a site knows of the store, and its demand; answered by the
/// receiver's digest.
struct peer_site_digest
{
    std::string m_name;
    std::string m_address; ///< Address of the sender for peers, IP:port.
    std::string m_zone;
    bool m_store_is_available = false;
    /// Revision up to which the sender knows all that it would relay.
    std::uint64_t m_store_revision = 0;
    std::uint64_t m_config_version = 0;
    std::uint64_t m_incarnation = 0;      ///< Differs after each restart.
    std::uint64_t m_weights_version = 0;  ///< Version of m_weights.
    std::uint64_t m_seen_incarnation = 0; ///< Last known one of the receiver.
    /// Version of the receiver's weights that the sender applied.
    std::uint64_t m_seen_weights_version = 0;
    std::vector<peer_workspace_demand> m_weights; ///< Demand per workspace.
    bool m_shutting_down =
        false; ///< Last message; the process is shutting down.
    /// The weights are those of the sender's cell, which it leads. False also
    /// for a process that doesn't know the fleet yet.
    bool m_leads_cell = false;
    /// The sender's wall clock; 0, which isn't sent, without usage reports.
    std::uint64_t m_wall_ms = 0;
};

/// A candidate for leader of its cell, or the present leader, asks for the
/// receiver's vote; answered by a peer_vote.
struct peer_vote_request
{
    std::string m_name;
    std::string m_address; ///< Address of the sender for peers, IP:port.
    std::uint64_t m_incarnation = 0;
    bool m_leads_cell = false; ///< The sender is the cell leader.
    bool m_shutting_down =
        false; ///< Last message; the process is shutting down.
    bool m_store_is_available = false;
    /// Revision up to which the sender knows all that it would relay.
    std::uint64_t m_store_revision = 0;
    std::uint64_t m_config_version = 0;
    /// Revision of the newest change that the sender would relay. Earlier
    /// builds have no other; this one reads the two that follow.
    std::uint64_t m_content_revision = 0;
    std::uint64_t m_endpoints_revision = 0;   ///< Newest change of the list.
    std::uint64_t m_evacuations_revision = 0; ///< Newest change of the list.
    /// What a cell leader takes for true time, in ms since the start of 1970;
    /// 0, which isn't sent, without usage reports.
    std::uint64_t m_true_ms = 0;
    /// Revision of the newest change of the members that a cell leader relays.
    /// 0: the sender is of an earlier build, which doesn't relay them.
    std::uint64_t m_members_revision = 0;
    /// The receiver's incarnation, if the sender has shown that no earlier
    /// process of the zone has given a vote that still counts. 0, which isn't
    /// sent: it hasn't.
    std::uint64_t m_confirmed_incarnation = 0;
};

/// Grants or refuses a vote, with what the sender knows of the store.
struct peer_vote
{
    std::string m_name;
    bool m_granted = false;
    bool m_store_is_available = false;
    /// Revision up to which the sender knows all that it would relay.
    std::uint64_t m_store_revision = 0;
    std::uint64_t m_config_version = 0;
    /// The sender's wall clock; 0, which isn't sent, without usage reports.
    std::uint64_t m_wall_ms = 0;
};

/// Asks a process of the zone about its start.
struct peer_restart_request
{
};

/// What it answers. Earlier builds answer with an error.
struct peer_restart
{
    std::string m_name;
    std::uint64_t m_incarnation = 0;
    bool m_is_unused = false;  ///< It has requested no vote since its start.
    bool m_was_member = false; ///< Its VM was a member before its start.
};

/// Answer to a digest that the answering process isn't responsible for: the
/// address of the leader of its cell.
struct peer_referral
{
    std::string m_leader_address; ///< Empty if the leader is unknown.
};

/// A number of operations of one workspace, requested or granted.
struct peer_workspace_tokens
{
    std::string m_workspace;
    std::uint32_t m_count = 0;
    /// In a grant: time until more may be available.
    std::uint32_t m_retry_after_ms = 0;
};

/// Asks the leader of the sender's cell for operations; answered by a
/// peer_token_grant.
struct peer_token_request
{
    std::vector<peer_workspace_tokens> m_tokens;
    /// The sender leads another cell and asks for spare operations. Earlier
    /// builds grant them as if the sender belonged to their cell.
    bool m_from_other_cell = false;
};

/// The operations that the cell leader grants.
struct peer_token_grant
{
    bool m_from_leader = false; ///< False if the sender isn't the cell leader.
    std::vector<peer_workspace_tokens> m_tokens;
};

/// Asks the leader of the sender's cell, or as a cell leader those of other
/// cells, for what it knows of these groups; answered by peer_groups.
struct peer_group_request
{
    std::vector<std::string> m_services;
    bool m_from_other_cell = false;
    /// The m_source of the receiver's last answer. 0, which isn't sent: the
    /// sender has none, or is an earlier build.
    std::uint64_t m_source = 0;
    /// For each service, the version of the answer of m_source whose content
    /// the sender still has; 0: none, the group is wanted in full.
    std::vector<std::uint64_t> m_versions = {};
    /// Indices of the services whose lease is wanted also if it hasn't changed.
    std::vector<std::uint32_t> m_leases = {};
};

/// The groups that the cell leader knows, of those that were asked for. A group
/// that is among neither m_groups nor m_changes is unknown, or hasn't changed
/// since the version that the request named.
struct peer_groups
{
    bool m_from_leader = false; ///< False if the sender isn't the cell leader.
    std::vector<relayed_group> m_groups; ///< In full.
    /// Incarnation of the sender's process. Earlier builds don't send it.
    std::uint64_t m_source = 0;
    std::uint64_t m_version = 0; ///< Of this answer; increases.
    std::vector<relayed_change> m_changes = {};
};

/// The receiver doesn't know the request, or can't serve it now.
struct peer_declined
{
    std::string m_name;
};

/// Units of the loan with this id.
struct peer_loan_part
{
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;
};

/// Tells the lender that the borrower `m_passed_by` passed units of this loan
/// on to the sender.
struct peer_loan_claim
{
    std::uint64_t m_id = 0;
    std::string m_passed_by;
    std::uint32_t m_units = 0;
};

/// A loan of `m_lender` that the sender passes on to the receiver.
struct peer_passed_loan
{
    std::string m_lender;
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;
    std::uint64_t m_time_left_ms = 0;
};

/// A granted claim: the units become a loan with an id of its own.
struct peer_claimed_loan
{
    peer_loan_claim m_claim;
    std::uint64_t m_id = 0;
};

/// Asks for a loan from the receiver's share; answered by a peer_loan.
struct peer_loan_request
{
    std::string m_name;
    share_kind m_kind = share_kind::rate;
    std::string m_resource;
    std::uint32_t m_wanted = 0; ///< Units.
    std::uint32_t m_held = 0;
    double m_demand = 0;
    std::vector<peer_loan_part> m_renewals;
    std::vector<peer_loan_claim> m_claims;
};

/// A granted loan. The lender has already deducted the units from its share.
struct peer_loan
{
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;
    double m_tokens = 0;
    std::vector<peer_loan_part> m_returned;
    std::vector<peer_passed_loan> m_passed;
    std::vector<peer_loan_part> m_renewed;
    std::vector<peer_claimed_loan> m_claimed;
};

/// One of the platform's objects, relayed by a daemon.
struct peer_object
{
    std::string m_name;
    std::uint64_t m_version = 0;
    std::string m_value; ///< JSON.
};

/// One VM of the platform's list, relayed by a daemon.
struct peer_vm
{
    std::string m_name;
    std::string m_address; ///< IP:port.
    std::string m_zone;
    bool m_leaving = false;
};

/// The store revisions up to which a process knows each kind of object.
struct peer_known_revisions
{
    std::uint64_t m_configuration = 0;
    std::uint64_t m_endpoints = 0;
    std::uint64_t m_evacuations = 0;
    std::uint64_t m_members = 0; ///< 0: the sender doesn't say it.
};

/// What a peer_settings_request asks for.
enum class peer_settings_part : std::uint8_t
{
    all,
    configuration,
    lists,   ///< Endpoints and evacuated zones.
    members, ///< As the store lists them. Earlier builds don't know it.
};

/// Asks for the settings objects that are newer than a version.
struct peer_settings_request
{
    /// Revision of the configuration object that the sender has.
    std::uint64_t m_after = 0;
    peer_settings_part m_part = peer_settings_part::all;
    /// What the sender has of each kind: the answer may leave it out. Earlier
    /// builds don't say it, and are answered in full.
    std::optional<peer_known_revisions> m_known = {};
    bool m_wants_members = true; ///< The sender knows no members.
};

/// Says to which list the objects of one kind in a peer_settings belong.
struct peer_list_base
{
    /// The objects are the changes after this revision; 0: the complete list.
    std::uint64_t m_since = 0;
    std::vector<std::string> m_removed; ///< Names removed since then.
};

/// A configuration object as a change of an earlier one.
struct peer_config_delta
{
    std::uint64_t m_base_revision = 0; ///< Of the object that it changes.
    std::uint64_t m_revision = 0;      ///< Of the object that results.
    text_delta m_delta = {};
};

/// The platform's objects as a daemon knows them.
struct peer_settings
{
    std::uint64_t m_version = 0; ///< Version of the settings as a whole.
    std::vector<peer_object> m_objects;
    std::vector<peer_vm> m_vms;
    std::vector<std::string> m_secrets; ///< For session tokens.
    /// Revision of the newest change. Earlier builds have no other; this one
    /// reads m_known.
    std::uint64_t m_content_revision = 0;
    peer_known_revisions m_known;
    peer_list_base m_endpoints;
    peer_list_base m_evacuations;
    peer_list_base m_members; ///< Of an answer to a request for members.
    std::optional<peer_config_delta> m_config_delta = {};
};

/// Asks a daemon for its status.
struct peer_status_request
{
};

/// The status of a daemon, for operators.
struct peer_status
{
    std::string m_name;
    std::string m_zone;
    std::uint64_t m_known_version = 0; ///< Newest known settings version.
    /// Settings version that all its tasks apply.
    std::uint64_t m_applied_version = 0;
    std::string m_standing; ///< confirmed, witnessed or lapsed.
    std::string m_state;    ///< Lifecycle state of the daemon.
    std::vector<std::string>
        m_rejected_nodes;        ///< Settings nodes rejected as invalid.
    std::string m_admin_address; ///< Address for dumps, IP:port.
};

/// Asks the daemon to finish its work and exit; answered by its status.
struct peer_drain_request
{
};

/// Asks a process for the requests that it counted, or as the holder of the
/// usage duty asks another cell's leader for those of its cell; answered by
/// peer_usage.
struct peer_usage_request
{
    bool m_of_cell = false;
    std::uint64_t m_incarnation = 0; ///< The one that m_from refers to.
    window_id m_from = 0;            ///< First window that is wanted.
};

/// The windows that were asked for; all of them, if the receiver is another
/// incarnation than the one that was asked.
struct peer_usage
{
    usage_summary m_summary;
};

using peer_message = std::variant<
    peer_heartbeat, peer_declined, peer_settings_request, peer_settings,
    peer_status_request, peer_status, peer_drain_request, peer_loan_request,
    peer_loan, peer_site_digest, peer_vote_request, peer_vote, peer_referral,
    peer_token_request, peer_token_grant, peer_group_request, peer_groups,
    peer_usage_request, peer_usage, peer_restart_request, peer_restart>;

}

#endif
