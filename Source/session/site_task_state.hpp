#ifndef BLUEBELLSPOKE_SESSION_SITE_TASK_STATE_HPP
#define BLUEBELLSPOKE_SESSION_SITE_TASK_STATE_HPP

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <decide/cell_vote.hpp>
#include <decide/endpoint_list.hpp>
#include <peer/peer_call.hpp>
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

/// How long a watch waits. A connection that went silent is found after it:
/// within the 4 s in which a configuration has to be in force, together with
/// the read that follows.
inline constexpr std::chrono::milliseconds watch_wait{2400};
/// The same for the members of a fleet with cells: a change is told at once,
/// and a member that is gone is noticed by its silence.
inline constexpr std::chrono::seconds members_watch_wait{10};
/// From a failed call to the next try, doubled with each failure.
inline constexpr std::chrono::milliseconds first_rest{150};
inline constexpr std::chrono::milliseconds longest_rest{1200};
/// From one digest to the next; a peer that the store turns away takes what it
/// missed within two.
inline constexpr std::chrono::milliseconds digest_period{1000};
/// The same while work waits for a larger part of a rate.
inline constexpr std::chrono::milliseconds urgent_digest_period{200};
/// From one look at what is due to the next.
inline constexpr std::chrono::milliseconds site_tick{100};

/// One followed kind of the store's objects.
struct store_feed
{
    stored_kind m_kind = stored_kind::configuration;
    watch_state m_state = watch_state::listing;
    std::uint64_t m_revision = 0; ///< Up to which it has heard.
    duration m_rest{};
    bool m_answers = false;
    time_point m_confirmed_at{}; ///< Of the last answer.
    std::unique_ptr<timer> m_timer;
};

/// A process that this one talks to.
struct site_peer
{
    std::string m_name; ///< Empty: a seed that hasn't said it yet.
    std::unique_ptr<http2_client> m_client;
    std::optional<peer_site_digest> m_last;
    bool m_reached = false;
    time_point m_heard_at{};      ///< Or when it was first known.
    std::uint32_t m_refusals = 0; ///< Of its host, one after the other.
    bool m_asking = false;
    time_point m_asked_at{};
    std::uint64_t m_told = 0; ///< Newest weights that it has been sent.
};

/// Another cell, and what is known of its keeper.
struct cell_contact
{
    std::string m_address;   ///< Of its keeper, as far as is known; for peers.
    std::size_t m_tries = 0; ///< Members that didn't know one, in a row.
    std::optional<peer_site_digest> m_last;
    bool m_asking = false;
    time_point m_asked_at{};
    std::uint64_t m_told = 0; ///< Newest weights that it has been sent.
};

/// This process's part in its cell; decide/cell_vote.hpp says what a cell is.
struct cell_part
{
    cell_state m_state = cell_state::single;
    cell_vote m_vote;        ///< That it has given.
    cell_poll m_poll;        ///< Votes that it was given.
    time_point m_asked_at{}; ///< Of its last round of questions.
    time_point m_heard_at{}; ///< Last question of one to follow.
    std::string m_keeper;    ///< Its address; empty: none is known.
    time_point
        m_relayed_at{}; ///< Last word of a keeper that the store answers.
    std::uint64_t m_incarnation = 0; ///< Another one for each time it keeps.
    std::map<std::string, cell_contact, std::less<>> m_others; ///< By zone.
};

/// Everything that the site task owns.
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
    std::array<store_feed, 4> m_feeds;

    stored_object m_config_object; ///< As it was read, for peers.
    site_config_ptr m_config;
    std::map<std::string, stored_object, std::less<>> m_endpoint_objects;
    endpoint_list m_list;
    std::set<std::string, std::less<>> m_evacuated;
    std::map<std::string, member_record, std::less<>> m_members;
    std::map<std::string, std::uint64_t, std::less<>> m_member_revisions;
    std::uint64_t m_adopted_revision = 0; ///< Of what a peer has passed on.
    /// Of the newest change of the configuration, endpoints or evacuations.
    std::uint64_t m_content = 0;
    bool m_lists_published = false;
    std::uint64_t m_store_answers = 0;
    std::uint64_t m_store_failures = 0;
    std::uint64_t m_histories_gone = 0;
    std::uint64_t m_digests_sent = 0;
    std::uint64_t m_digests_received = 0;
    task_usage m_usage{.m_task = "site", .m_tick = site_tick};

    std::map<std::string, site_peer, std::less<>> m_peers; ///< By address.
    cell_part m_cell;
    time_point m_started_at{};
    bool m_asking_peer = false;
    std::uint64_t m_incarnation = 0;
    bool m_ending = false;
    bool m_weights_urgent = false;
    demand_telling m_weights; ///< What the session task wants told.
};

// site_feeds.cpp
void start_feeds(site_task_state& t);
/// Goes back to the store when the keeper passes nothing on any more.
void tend_feeds(site_task_state& t, time_point now);
bool store_answers(const site_task_state& t);
std::uint64_t store_revision(const site_task_state& t);

// site_objects.cpp
/// Takes what was read or has changed of one kind. `whole` says that objects
/// which aren't there are gone.
void take_objects(site_task_state& t, stored_kind kind,
                  std::span<const stored_change> changes, bool whole);
void publish_endpoints(site_task_state& t);
void register_member(site_task_state& t);
/// What this process knows, for one that the store turns away.
peer_settings describe_for_peer(const site_task_state& t, std::uint64_t after);
void adopt_from_peer(site_task_state& t, const peer_settings& m);
/// Takes the changes that the keeper has passed on.
void adopt_from_keeper(site_task_state& t, const peer_settings& m);

/// Takes members that nobody hears out of the store's list.
void remove_lapsed_members(site_task_state& t);

// site_peers.cpp
/// What a peer is told; one that isn't known yet has nothing to be seen.
peer_site_digest digest_for(const site_task_state& t,
                            const std::optional<peer_site_digest>& heard);
demand_news news_of(const site_task_state& t, const peer_site_digest& d);
/// Takes the store's objects from a peer that has heard more of it.
void catch_up(site_task_state& t, site_peer& p, bool store_answers,
              std::uint64_t store_revision, std::uint64_t config_version);
/// Takes what the keeper has heard of, if it is newer.
void follow_content(site_task_state& t, site_peer& keeper,
                    std::uint64_t content);
void note_reached(site_peer& p, bool reached);
duration digest_period_of(const site_task_state& t, std::uint64_t told);
void start_peers(site_task_state& t);
void add_seeds(site_task_state& t);
void update_peers(site_task_state& t);
void send_digests(site_task_state& t);
/// Says that this process ends.
void say_goodbye(site_task_state& t);
/// Takes what the peers are to know of this process's needs.
void tell_weights(site_task_state& t, const weights_told& m);

// site_cells.cpp
/// The cells are those of zones, with keepers.
bool has_cells(const site_task_state& t);
/// Under which weights are told: of the process, or of its time as a keeper.
std::uint64_t weights_incarnation(const site_task_state& t);
/// This process keeps its cell's rates.
bool keeps_cell(const site_task_state& t, time_point now);
/// The keeper hears the store, and passes its changes on.
bool is_relayed(const site_task_state& t, time_point now);
/// Members of this process's zone, itself included.
std::set<std::string, std::less<>> members_of_cell(const site_task_state& t);
/// Zones that have members, this process's included.
std::set<std::string, std::less<>> cells_of(const site_task_state& t);
/// The members of a zone in the order in which they stand for keeper.
std::vector<cell_rank> ranks_of(const site_task_state& t,
                                std::string_view zone);
/// The members have changed: enters or leaves the division into cells.
void update_cell(site_task_state& t);
fleet_changed describe_fleet(const site_task_state& t);
void tend_cell(site_task_state& t, time_point now);
peer_vote take_vote_wanted(site_task_state& t, const peer_vote_wanted& m);
/// Tells the cell, and the others if this process keeps it, that it ends.
void leave_cell(site_task_state& t);

// site_cell_peers.cpp
/// Answers another cell's keeper.
peer_message take_cell_digest(site_task_state& t, const peer_site_digest& m);
void send_cell_digests(site_task_state& t, time_point now);
/// Tells the other keepers that this process ends.
void end_cell_digests(site_task_state& t);
void ask_for_tokens(site_task_state& t, const tokens_wanted& m);
void take_tokens_wanted(site_task_state& t, exchange_id exchange,
                        const peer_tokens_wanted& m);
void answer_tokens(site_task_state& t, const tokens_answered& m);

}

#endif
