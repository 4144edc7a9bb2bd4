#ifndef BLUEBELLSPOKE_DAEMON_CONTROL_STATE_HPP
#define BLUEBELLSPOKE_DAEMON_CONTROL_STATE_HPP

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <daemon/control_leases.hpp>
#include <daemon/daemon_settings.hpp>
#include <daemon/messages.hpp>
#include <decide/fleet_epoch.hpp>
#include <decide/settings_tree.hpp>
#include <decide/standing.hpp>
#include <peer/peer_call.hpp>
#include <peer/peer_message.hpp>
#include <store/platform_client.hpp>
#include <wire/http2_server.hpp>

namespace bluebellspoke
{

/// Another daemon, as the platform lists it and as it was last heard.
struct peer
{
    platform_vm m_vm;
    std::unique_ptr<http2_client> m_client;
    std::optional<peer_heartbeat> m_last;
    time_point m_asked_at{}; ///< When the question it answered was sent.
    time_point m_since{};    ///< When this daemon began to ask it.
};

/// What a daemon knows of the fleet that limits are divided among.
struct fleet_state
{
    fleet_epoch m_epoch;
    /// When the last question was sent that the platform answered with nothing
    /// newer than m_epoch.
    time_point m_confirmed_at{};
    bool m_platform_answers = false;
    bool m_reading = false;
    bool m_proposing = false;
    epoch_settling m_settling;
    std::array<std::uint64_t, 2> m_applied{}; ///< By share_holder.
    time_point m_started_at{};
    bool m_new_name = false; ///< No process before it was a member.
    std::optional<time_point> m_joined_at; ///< Its shares begin then.
    std::optional<time_point> m_propose_at;
    resolved_settings_ptr m_unannounced; ///< Settings that admin waits for.
};

/// A peer's answer, or nothing when none came in time.

/// What the control task owns; nobody else touches it.
struct control_state
{
    control_state(const daemon_settings& daemon, mailboxes& boxes);

    const daemon_settings& m_daemon;
    mailboxes& m_boxes;
    loop m_loop;
    platform_client m_platform;
    /// Settings objects as they were last heard of, by name; the newest.
    std::map<std::string, platform_object, std::less<>> m_objects;
    std::set<std::string> m_refused; ///< Paths of nodes that can't be read.
    std::optional<std::string> m_unresolved; ///< Node that fits no tree.
    settings_tree m_tree;         ///< The last good value of each node.
    std::uint64_t m_revision = 0; ///< Of the platform's store, as last heard.
    std::uint64_t m_version = 0;  ///< Of the settings, as last heard of.
    bool m_published = false;     ///< The other tasks have settings.
    std::uint64_t m_front_version = 0;  ///< The front goes by it.
    std::uint64_t m_pool_version = 0;   ///< The pool goes by it.
    std::string m_life;                 ///< State of the daemon's life.
    std::vector<std::string> m_secrets; ///< For session tokens.
    bool m_platform_answers = true;
    bool m_asking_platform = false;
    time_point m_asked_platform_at{};
    bool m_asking_peer = false;
    bool m_vms_known = false; ///< The list came from the platform or a peer.
    std::vector<platform_vm> m_vms;
    time_point m_started_at = monotonic_clock::now();
    time_point m_next_question{}; ///< To the platform, at the earliest.
    standing m_standing = standing::lapsed;
    /// When the last question was sent that the platform answered.
    time_point m_platform_confirmed_at{};
    std::size_t m_members = 1;
    bool m_draining = false;
    std::uint64_t m_incarnation = 0; ///< Of this process.
    daemon_tls m_tls;
    std::map<std::string, peer, std::less<>> m_peers;
    lease_keeper m_leases;
    fleet_state m_fleet;
    std::unique_ptr<http2_server> m_peer_server;
    timer m_heartbeat;
    timer m_settings_tick;
    timer m_retry_secrets;
    timer m_vm_poll;
    timer m_epoch_poll;
};

// control_settings.cpp
/// Asks the platform, or a peer, when there is reason to; again and again.
void tend_settings(control_state& c);
/// Objects that somebody knows to be newest, up to a version of the whole.
void take_objects(control_state& c, std::span<const platform_object> objects,
                  std::uint64_t version);
/// The highest settings version that this daemon or a peer knows of.
std::uint64_t newest_heard(const control_state& c);
/// Notes that the platform answered or did not.
void note_platform(control_state& c, bool answers);

// control_relay.cpp
/// Fetches from a peer what it knows newer, unless a question is under way.
void fetch_from_peer(control_state& c);
peer_settings settings_for_peer(const control_state& c, std::uint64_t after);
peer_status status_of(const control_state& c);
/// A daemon that knows no VM list learns the fleet from who calls it.
void note_caller(control_state& c, const peer_heartbeat& m);
void note_vms(control_state& c, std::span<const platform_vm> vms);

// control_standing.cpp
/// Judges standing and tells the front and the admin task.
void tell_standing(control_state& c);

// control_secrets.cpp
/// Reads the fleet's session secrets, or makes them when there are none.
void load_secrets(control_state& c);

// control_peers.cpp
/// Listens for peers and begins to send heartbeats.
void start_peers(control_state& c);
/// Sends a heartbeat to the peers, and again after a period.
void beat_peers(control_state& c);
/// The same at once, because there is something new to say.
void beat_soon(control_state& c);
/// Sends what a task lends to the peer that asked.
void answer_loan(control_state& c, const outgoing_loan& given);
/// What standing is judged by; the view looks into the witnesses beside it.
struct witnessed_standing
{
    std::vector<peer_report> m_witnesses;
    standing_view m_view;
};
witnessed_standing standing_of(const control_state& c);
/// The same by the members of the fleet's epoch, and of the one before it until
/// the epoch is settled.
std::vector<witnessed_standing> member_standings_of(const control_state& c);
/// Keeps connections to just these VMs' daemons.
void set_peers(control_state& c, std::span<const platform_vm> vms);
void send_to_peer(control_state& c, std::string_view name,
                  const peer_message& message, peer_callback done);

// control_fleet.cpp
void poll_vms(control_state& c);
/// Fits members and peers to the VMs known.
void follow_vms(control_state& c);
/// Asks the platform which epoch of the fleet is the newest.
void read_epoch(control_state& c);
/// Works out anew what this daemon may use, and tells the other tasks.
void update_right(control_state& c);
/// Tells the admin task that the daemon is configured, once there are shares
/// to serve with: its own, or a peer's to borrow from.
void announce_settings(control_state& c);
/// A task keeps to the shares of an epoch.
void note_applied(control_state& c, const right_applied& applied);
/// The epoch that all tasks keep to.
std::uint64_t applied_epoch(const control_state& c);
/// What standing in the epoch is judged by.
witnessed_standing epoch_standing_of(const control_state& c);

// control_shares.cpp
/// Sends a task's question for a loan to the peer it names.
void ask_for_loan(control_state& c, outgoing_loan_request& wanted);
/// Takes a peer's question to the task that holds the share.
void pass_loan_ask(control_state& c, exchange_id exchange,
                   const peer_loan_request& ask);

}

#endif
