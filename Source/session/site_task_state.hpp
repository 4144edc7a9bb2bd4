#ifndef BLUEBELLSPOKE_SESSION_SITE_TASK_STATE_HPP
#define BLUEBELLSPOKE_SESSION_SITE_TASK_STATE_HPP

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <decide/cell_vote.hpp>
#include <decide/endpoint_list.hpp>
#include <decide/list_history.hpp>
#include <decide/member_relay.hpp>
#include <decide/restart_check.hpp>
#include <decide/site_clock.hpp>
#include <decide/usage_ledger.hpp>
#include <peer/peer_call.hpp>
#include <report/peer_traffic.hpp>
#include <report/task_usage.hpp>
#include <session/object_store.hpp>
#include <session/session_messages.hpp>
#include <session/site_charts.hpp>
#include <session/site_task.hpp>
#include <task/loop.hpp>
#include <wire/http2_client.hpp>
#include <wire/http2_server.hpp>

namespace bluebellspoke
{

/// How long a watch waits for changes. A dead connection is noticed after this
/// time; together with the list that follows, that stays within the 4 s in
/// which a configuration must be in force.
inline constexpr std::chrono::milliseconds watch_timeout{2400};
/// The same for a cell leader, whose followers read the store themselves only
/// once it has reported a failure and cell_election_timeout has passed.
inline constexpr std::chrono::milliseconds leader_watch_timeout{1200};
/// The same for the members of a fleet with zone cells. It may be longer: a
/// live watch reports a change at once, and a member that is gone is noticed
/// because it stops answering.
inline constexpr std::chrono::seconds members_watch_timeout{10};
/// The delay after a failed call, doubled with each further failure.
inline constexpr std::chrono::milliseconds min_retry_delay{150};
inline constexpr std::chrono::milliseconds max_retry_delay{1200};
/// The interval between digests to a peer. A peer that the store doesn't
/// serve obtains what it missed within two of them.
inline constexpr std::chrono::milliseconds digest_interval{1000};
/// The same while work waits for a larger share of a rate.
inline constexpr std::chrono::milliseconds urgent_digest_interval{200};
/// The interval at which the task checks for due work.
inline constexpr std::chrono::milliseconds site_tick{100};

/// The watch of one kind of the store's objects.
struct store_watch
{
    stored_kind m_kind = stored_kind::configuration;
    watch_state m_state = watch_state::listing;
    /// All changes up to this store revision are known, from the store or from
    /// a peer.
    std::uint64_t m_revision = 0;
    std::uint64_t m_changed_revision = 0; ///< Of the newest change known.
    duration m_retry_delay{};
    bool m_is_available = false;
    store_failure m_failure = store_failure::unreachable; ///< The last one.
    time_point m_confirmed_at{}; ///< When its objects were last current.
    time_point m_adopted_at{};   ///< When a peer last knew a newer revision.
    std::unique_ptr<timer> m_timer;
};

/// A process that this one exchanges messages with.
struct site_peer
{
    std::string m_name; ///< Empty for a seed that hasn't sent its name yet.
    std::unique_ptr<http2_client> m_client;
    std::optional<peer_site_digest> m_last_digest;
    bool m_is_member = false; ///< It is among the members in the store.
    bool m_is_reachable = false;
    time_point
        m_last_contact_at{};      ///< Initially the time at which it was added.
    std::uint32_t m_refusals = 0; ///< Consecutive refused connections.
    bool m_request_pending = false;
    bool m_config_fetch_pending = false; ///< Its configuration was requested.
    bool m_lists_fetch_pending = false;  ///< Its lists were requested.
    bool m_members_fetch_pending = false;
    bool m_usage_pending = false; ///< Its counts have been requested.
    time_point m_usage_answered_at{};
    bool m_answer_failed = false; ///< An answer of it met an exception.
    time_point m_requested_at{};
    std::uint64_t m_announced_version =
        0; ///< Newest weights that it has been sent.
    /// Its incarnation in its last answer about groups; 0: none.
    std::uint64_t m_group_source = 0;
};

/// Another cell, and what is known of its leader.
struct remote_cell
{
    std::string
        m_leader_address; ///< Peer address of its leader; empty if unknown.
    std::size_t m_failed_lookups =
        0; ///< Consecutive members that knew no leader.
    std::optional<peer_site_digest> m_last_digest;
    bool m_request_pending = false;
    time_point m_requested_at{};
    std::uint64_t m_announced_version =
        0; ///< Newest weights that it has been sent.
};

/// This process's role in its cell; decide/cell_vote.hpp defines cells.
struct cell_membership
{
    cell_state m_state = cell_state::no_cell;
    cell_vote m_given_vote;              ///< The vote that it gave.
    vote_request_times m_received_votes; ///< The votes that it received.
    time_point m_votes_requested_at{};   ///< When it last requested votes.
    time_point m_last_vote_request_at{}; ///< Last request of a process that it
                                         ///< yields to.
    std::string
        m_leader_address; ///< The leader's address; empty if none is known.
    /// Last request of a leader that the store answers.
    time_point m_last_relay_at{};
    member_relay m_member_relay;     ///< Of the members by that leader.
    std::uint64_t m_incarnation = 0; ///< A new one for each time that it leads.
    bool m_has_requested_votes = false; ///< Since the start of the process.
    /// The first list of members had this process's VM.
    std::optional<bool> m_was_member;
    restart_check_state m_restart_check_state = restart_check_state::waiting;
    restart_check m_restart_check;
    std::map<std::string, remote_cell, std::less<>> m_other_cells; ///< By zone.
};

/// The interval between requests for the counts of a process or a cell. A
/// killed process loses what it counted since.
inline constexpr std::chrono::milliseconds usage_request_interval{1000};

/// What is counted for the usage reports here, in the cell and in the fleet.
struct usage_collection
{
    site_clock m_clock;
    clock_offset m_posted_offset{}; ///< Last one that other tasks were told.
    usage_summary m_own;            ///< Last one of the session task.
    usage_ledger m_members;         ///< By process.
    usage_ledger m_cells;           ///< By zone, of the holder of the duty.
    bool m_is_candidate = false;    ///< May hold the duty.
    bool m_holds_duty = false;
    time_point m_held_since{};    ///< When it got the duty.
    bool m_has_passed_on = false; ///< The counts, since it got the duty.
    std::optional<window_id> m_last_window; ///< Reported before it got it.
    time_point m_requested_at{};            ///< Last round of requests.
    std::uint64_t m_version = 0;            ///< Of this cell's last summary.
};

/// The state that the site task owns.
struct site_task_state
{
    site_task_state(const site_settings& settings, const site_codec& codec,
                    const site_charts& charts, const store_factory& store,
                    site_mailboxes& boxes);

    site_settings m_settings;
    const site_codec& m_codec;
    const site_charts& m_charts;
    site_mailboxes& m_boxes;
    loop m_loop;
    object_store m_store;
    timer m_tick;
    std::unique_ptr<http2_server> m_peer_server;
    std::array<store_watch, 4> m_watches;

    stored_object m_config_object; ///< As it was read; passed on to peers.
    /// The objects before it, newest first: a peer that has one of them gets
    /// the difference.
    std::deque<stored_object> m_earlier_configs;
    bool m_wants_full_config = false; ///< A difference couldn't be applied.
    time_point m_last_fetch_at{};     ///< Of settings from a peer.
    site_config_ptr m_config;
    std::map<std::string, stored_object, std::less<>> m_endpoint_objects;
    list_history m_endpoint_history; ///< Of m_endpoint_objects.
    endpoint_list m_list;
    std::set<std::string, std::less<>> m_evacuated_zones;
    std::map<std::string, member_record, std::less<>> m_members;
    /// The members as the store lists them, for peers.
    std::map<std::string, stored_object, std::less<>> m_member_objects;
    list_history m_member_history;     ///< Of m_member_objects.
    bool m_wants_full_members = false; ///< A change couldn't be applied.
    bool m_lists_published = false;
    endpoint_snapshot_ptr m_published_endpoints; ///< Null: none yet.
    /// Entries, or parts of the configuration, that failed a check.
    std::map<stored_kind, std::uint64_t> m_ignored_entries;
    /// Endpoints whose service the configuration doesn't name.
    std::size_t m_unconfigured_endpoints = 0;
    std::uint64_t m_ignored_counts = 0; ///< In other processes' usage.
    /// When a peer first reported a newer configuration; zero if none did.
    time_point m_behind_since{};
    std::uint64_t m_answered_calls = 0;
    std::uint64_t m_failed_calls = 0;
    std::uint64_t m_history_gone_calls = 0;
    std::uint64_t m_digests_sent = 0;
    std::uint64_t m_digests_received = 0;
    std::uint64_t m_peer_answers_failed = 0;
    peer_traffic m_traffic;
    task_usage m_usage{.m_task = "site", .m_tick = site_tick};

    std::map<std::string, site_peer, std::less<>> m_peers; ///< By address.
    cell_membership m_cell;
    usage_collection m_collection;
    time_point m_started_at{};
    /// Since when this process exchanges messages with the members whose
    /// silence it judges.
    time_point m_contact_expected_since{};
    std::uint64_t m_incarnation = 0;
    bool m_ending = false;
    /// What the failover task was told last.
    bool m_is_failover_candidate = true;
    bool m_weights_urgent = false;
    demand_announcement m_weights; ///< Announced to peers for the session task.
};

// site_log.cpp
/// Logs the difference between the published list and the next one: one line
/// for the first list, then one for each change of membership or draining.
void log_list_change(const site_task_state& t, const endpoint_snapshot& next,
                     std::string_view removal);

// site_watches.cpp
void start_watches(site_task_state& t);
/// Watches the store again when the cell leader no longer passes changes on.
void update_relayed_watches(site_task_state& t, time_point now);
/// Time since a peer first reported a newer configuration; zero if none did.
duration time_behind(const site_task_state& t);
/// Returns true if the last call of every watch succeeded.
bool is_store_available(const site_task_state& t);
/// Returns true if the last call of a watch failed.
bool has_failed_watch(const site_task_state& t);
/// Returns true if a candidate may count the votes of the members it knows.
bool may_count_votes(const site_task_state& t);
/// Returns the store revision up to which this process knows every change of
/// what any process may fetch from it: all but the members.
std::uint64_t known_revision(const site_task_state& t);
/// Returns the revision of the newest change of the same.
std::uint64_t changed_revision(const site_task_state& t);
/// Returns the watch of a kind that this process watches.
store_watch& watch_of(site_task_state& t, stored_kind kind);
const store_watch& watch_of(const site_task_state& t, stored_kind kind);

// site_objects.cpp
/// Applies changes to the objects of one kind. If `complete` is true, objects
/// that aren't among them no longer exist.
void apply_objects(site_task_state& t, stored_kind kind,
                   std::span<const stored_change> changes, bool complete);
/// Returns true if a complete list of members holds nothing else than what
/// this process knows from the store.
bool lists_same_members(const site_task_state& t,
                        std::span<const stored_change> list);
/// Passes the list on to the other tasks, and logs what entered or left it.
/// `removal` says why endpoints left m_list since the last call.
void publish_endpoints(site_task_state& t,
                       std::string_view removal = "entry removed");
void register_member(site_task_state& t);
/// Returns what this process knows and the peer that asks doesn't: the store
/// doesn't serve it, or it leaves watching the store to this process.
peer_settings make_peer_settings(const site_task_state& t,
                                 const peer_settings_request& request);
/// Applies each kind of object that the peer knows up to a newer revision.
/// Returns false if there is none.
bool adopt_from_peer(site_task_state& t, const peer_settings& m);

/// Removes members that have stopped answering from the store.
void remove_silent_members(site_task_state& t);

// site_peers.cpp
/// Returns this process's digest for a peer. `received` is the last digest
/// received from it, which this one acknowledges.
peer_site_digest make_digest(const site_task_state& t,
                             const std::optional<peer_site_digest>& received);
/// Returns a digest without weights and acknowledgements, for a process that
/// doesn't know the fleet yet and isn't one of those that divide the rates.
peer_site_digest make_store_digest(const site_task_state& t);
/// Returns the weights and the acknowledgement in a peer's digest.
demand_update make_demand_update(const site_task_state& t,
                                 const peer_site_digest& d);
/// Sends a message to a peer, and counts it. `done` gets the answer. If that
/// meets an unexpected exception, `done` is called again without one.
void send_to_peer(site_task_state& t, http2_client& peer,
                  const peer_message& message, peer_callback done);
/// Answers a peer's request, and counts the answer.
void send_answer(site_task_state& t, exchange_id exchange,
                 const peer_message& message);
/// Fetches the store's objects from a peer that has seen a newer revision.
void fetch_if_behind(site_task_state& t, site_peer& p, bool peer_has_store,
                     std::uint64_t peer_revision, std::uint64_t config_version);
/// Fetches the objects from the cell leader if it has newer ones.
void fetch_newer_content(site_task_state& t, site_peer& leader,
                         const peer_vote_request& claim);
void set_reachable(site_peer& p, bool reachable);
duration digest_interval_for(const site_task_state& t,
                             std::uint64_t announced_version);
void start_peers(site_task_state& t);
void add_seeds(site_task_state& t);
void update_peers(site_task_state& t);
void send_digests(site_task_state& t);
/// Tells the peers that this process is shutting down.
void announce_shutdown(site_task_state& t);
/// Announces this process's demand weights to its peers.
void announce_weights(site_task_state& t, const local_demand_changed& m);

// site_cells.cpp
/// Returns true if the fleet is large enough for one cell per zone, each with a
/// leader. Otherwise each process is a cell of its own.
bool has_zone_cells(const site_task_state& t);
/// The incarnation under which weights are announced: that of the process, or
/// with zone cells that of its time as a cell leader.
std::uint64_t weights_incarnation(const site_task_state& t);
/// Returns true if this process leads its cell.
bool leads_cell(const site_task_state& t, time_point now);
/// Returns true if the cell leader watches the store and passes changes on to
/// this process.
bool is_relayed_by_leader(const site_task_state& t, time_point now);
/// Returns the members in this process's zone, including itself.
std::set<std::string, std::less<>> cell_members(const site_task_state& t);
/// Returns the zones that have members, including this process's own.
std::set<std::string, std::less<>> cell_zones(const site_task_state& t);
/// Returns the members of a zone in the order in which they become candidates
/// for its leadership.
std::vector<cell_rank> cell_ranks(const site_task_state& t,
                                  std::string_view zone);
/// Switches to or from zone cells when the number of members requires it.
void update_cell_mode(site_task_state& t);
/// Tells the failover task when this process begins or ceases to compete for
/// its duty.
void update_failover_candidacy(site_task_state& t, time_point now);
fleet_changed make_fleet_changed(const site_task_state& t);
void advance_cell(site_task_state& t, time_point now);
peer_vote answer_vote_request(site_task_state& t, const peer_vote_request& m);
/// Tells the cell that this process is shutting down, and the other cells too
/// if it leads its own.
void leave_cell(site_task_state& t);

/// Begins to ask the members of the cell for their votes. Called by a follower
/// only.
void stand_for_election(site_task_state& t, time_point now);

// site_restart.cpp
/// Continues the check whether all processes of the zone have restarted. The
/// first in rank runs it until one of them may vote.
void advance_restart_check(site_task_state& t, time_point now);
/// Declines until it is known whether this process's VM was a member before.
peer_message answer_restart_request(const site_task_state& t);

// site_cell_peers.cpp
/// Answers a digest of another cell's leader, or refers it to this cell's
/// leader. A sender that leads no cell is told what this process knows of the
/// store.
peer_message answer_cell_digest(site_task_state& t, const peer_site_digest& m);
void send_cell_digests(site_task_state& t, time_point now);
/// Tells the leaders of the other cells that this process is shutting down.
void send_final_cell_digests(site_task_state& t);
/// Requests rate tokens from the cell leader.
void request_tokens(site_task_state& t, const token_request& m);
/// Requests spare tokens from the leader of another cell.
void request_transfer(site_task_state& t, const token_transfer_request& m);
/// Passes another process's request for tokens on to the session task.
void forward_token_request(site_task_state& t, exchange_id exchange,
                           const peer_token_request& m);
void answer_token_request(site_task_state& t, const outgoing_token_grant& m);
/// Asks the cell leader what it knows of groups.
void request_groups(site_task_state& t, const group_request& m);
/// Passes another process's request on to the session task.
void forward_group_request(site_task_state& t, exchange_id exchange,
                           const peer_group_request& m);
void answer_group_request(site_task_state& t, const outgoing_groups& m);

// site_true_time.cpp
/// Takes the own wall clock for true time until anything else is known.
void start_true_time(site_task_state& t);
unix_time true_now(const site_task_state& t, time_point now);
/// The wall clock time that a vote or a digest carries; 0 without reports.
std::uint64_t wall_ms_to_send(const site_task_state& t);
/// The true time that a cell leader's vote request carries; 0 without reports.
std::uint64_t true_ms_to_send(const site_task_state& t);
/// Records the wall clock time in a vote or a digest.
void record_peer_clock(site_task_state& t, std::string_view name,
                       std::uint64_t wall_ms);
void follow_leader_clock(site_task_state& t, const peer_vote_request& m);
/// A cell leader takes its cell's median for true time, a process without a
/// cell that of all processes. The other members follow their leader.
void advance_true_time(site_task_state& t, time_point now);

// site_usage.cpp
/// Returns true if the deployment wants usage reports; otherwise nothing of
/// them is sent.
bool reports_usage(const site_task_state& t);
void advance_usage(site_task_state& t, time_point now);
void apply_own_usage(site_task_state& t, const usage_counted& m);
void apply_peer_usage(site_task_state& t, const peer_usage& m);
void apply_usage_duty(site_task_state& t, const usage_duty_changed& m);
peer_message answer_usage_request(site_task_state& t,
                                  const peer_usage_request& m);
/// Gives this process's last counts to the cell, or to all processes if there
/// are no cells, since any of them may become the next leader or holder.
void hand_over_usage(site_task_state& t);

}

#endif
