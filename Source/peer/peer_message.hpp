#ifndef BLUEBELLSPOKE_PEER_PEER_MESSAGE_HPP
#define BLUEBELLSPOKE_PEER_PEER_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <model/share_kind.hpp>

namespace bluebellspoke
{

/// What daemons tell each other. Each message goes out on a stream of its own
/// and is answered by one message on the same stream.

/// A daemon says that it is there and what it knows.
struct peer_heartbeat
{
    std::string m_name;              ///< Of the sender's VM.
    std::uint64_t m_incarnation = 0; ///< Another one after each restart.
    std::uint64_t m_settings_version = 0;
    bool m_platform_answers = false;
    std::uint64_t m_confirmed_age_ms = 0; ///< Since it was known current.
    bool m_draining = false;
    std::uint64_t m_epoch = 0;         ///< Newest fleet epoch that it knows.
    std::uint64_t m_epoch_applied = 0; ///< Whose shares it keeps to.
    std::uint64_t m_epoch_confirmed_age_ms = 0;
    bool m_epoch_platform_answers = false; ///< To its question for the epoch.
    std::string m_address; ///< Of the sender for its peers, IP:port.
    std::string m_zone;
};

/// The demand for one workspace at the sender.
struct peer_weight
{
    std::string m_workspace;
    std::uint32_t m_tenths = 0; ///< Operations in ten seconds.
};

/// What a process on a site knows of the store, and what it needs; answered by
/// the receiver's.
struct peer_site_digest
{
    std::string m_name;
    std::string m_address; ///< Of the sender for its peers, IP:port.
    std::string m_zone;
    bool m_store_answers = false;
    std::uint64_t m_store_revision = 0; ///< Up to which it has heard.
    std::uint64_t m_config_version = 0;
    std::uint64_t m_incarnation = 0;      ///< Another one after each restart.
    std::uint64_t m_weights_number = 0;   ///< Of m_weights.
    std::uint64_t m_seen_incarnation = 0; ///< Of the receiver, as last heard.
    std::uint64_t m_seen_number = 0;      ///< The receiver's weights taken in.
    std::vector<peer_weight> m_weights;   ///< Demand by workspace.
    bool m_ending = false; ///< The sender's process ends with this.
};

/// A process stands for keeper of its cell, or is it, and asks for the
/// receiver's vote; answered by a peer_vote.
struct peer_vote_wanted
{
    std::string m_name;
    std::string m_address; ///< Of the sender for its peers, IP:port.
    std::uint64_t m_incarnation = 0;
    bool m_keeps = false;  ///< It is the keeper.
    bool m_ending = false; ///< The sender's process ends with this.
    bool m_store_answers = false;
    std::uint64_t m_store_revision = 0; ///< Up to which it has heard.
    std::uint64_t m_config_version = 0;
    std::uint64_t m_content = 0; ///< Revision of what it would pass on.
};

struct peer_vote
{
    std::string m_name;
    bool m_granted = false;
    bool m_store_answers = false;
    std::uint64_t m_store_revision = 0; ///< Up to which it has heard.
    std::uint64_t m_config_version = 0;
};

/// Who keeps the receiver's cell; the answer to a digest that isn't for it.
struct peer_referral
{
    std::string m_address; ///< Empty: it knows none.
};

/// Operations of one workspace.
struct peer_tokens
{
    std::string m_workspace;
    std::uint32_t m_count = 0;
    std::uint32_t m_wait_ms = 0; ///< In an answer: until there may be more.
};

/// Asks the keeper of the sender's cell for operations; answered by a
/// peer_tokens_given.
struct peer_tokens_wanted
{
    std::vector<peer_tokens> m_tokens;
};

struct peer_tokens_given
{
    bool m_kept = false; ///< False: the receiver isn't the keeper.
    std::vector<peer_tokens> m_tokens;
};

/// The receiver doesn't know what was asked, or can't do it now.
struct peer_declined
{
    std::string m_name;
};

struct peer_loan_part
{
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;
};

struct peer_loan_claim
{
    std::uint64_t m_id = 0;
    std::string m_passed_by;
    std::uint32_t m_units = 0;
};

struct peer_passed_loan
{
    std::string m_lender;
    std::uint64_t m_id = 0;
    std::uint32_t m_units = 0;
    std::uint64_t m_left_ms = 0;
};

struct peer_claimed_loan
{
    peer_loan_claim m_claim;
    std::uint64_t m_id = 0;
};

/// A daemon asks for a part of the receiver's share; answered by a peer_loan.
struct peer_loan_ask
{
    std::string m_name;
    share_kind m_kind = share_kind::rate;
    std::string m_resource;
    std::uint32_t m_wanted = 0; ///< Units.
    std::uint32_t m_held = 0;
    double m_demand = 0;
    std::vector<peer_loan_part> m_renews;
    std::vector<peer_loan_claim> m_claims;
};

/// What the receiver gives; it has already given it up.
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

/// One of the platform's objects, passed on by a daemon.
struct peer_object
{
    std::string m_name;
    std::uint64_t m_version = 0;
    std::string m_value; ///< JSON.
};

/// One VM of the platform's list, passed on by a daemon.
struct peer_vm
{
    std::string m_name;
    std::string m_address; ///< IP:port.
    std::string m_zone;
    bool m_leaving = false;
};

/// Asks for the settings objects that are newer than a version.
struct peer_settings_wanted
{
    std::uint64_t m_after = 0;
};

/// What a daemon knows of the platform's objects.
struct peer_settings
{
    std::uint64_t m_version = 0; ///< Of the settings as a whole.
    std::vector<peer_object> m_objects;
    std::vector<peer_vm> m_vms;
    std::vector<std::string> m_secrets; ///< For session tokens.
    std::uint64_t m_content = 0;        ///< Revision of the newest change.
};

/// Asks a daemon how it stands.
struct peer_status_wanted
{
};

/// How a daemon stands, for operators.
struct peer_status
{
    std::string m_name;
    std::string m_zone;
    std::uint64_t m_known = 0;    ///< Newest settings version it knows of.
    std::uint64_t m_in_force = 0; ///< That every one of its tasks goes by.
    std::string m_standing;       ///< confirmed, witnessed or lapsed.
    std::string m_state;          ///< Of the daemon's life.
    std::vector<std::string> m_refused; ///< Nodes that it could not take.
    std::string m_admin;                ///< Address for dumps, IP:port.
};

/// Operators want the daemon to end after its work; answered by its status.
struct peer_drain_wanted
{
};

using peer_message =
    std::variant<peer_heartbeat, peer_declined, peer_settings_wanted,
                 peer_settings, peer_status_wanted, peer_status,
                 peer_drain_wanted, peer_loan_ask, peer_loan, peer_site_digest,
                 peer_vote_wanted, peer_vote, peer_referral, peer_tokens_wanted,
                 peer_tokens_given>;

}

#endif
