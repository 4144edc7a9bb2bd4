#ifndef BLUEBELLSPOKE_DECIDE_GROUP_VIEW_HPP
#define BLUEBELLSPOKE_DECIDE_GROUP_VIEW_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <model/clock.hpp>
#include <model/endpoint_status.hpp>
#include <model/site.hpp>

namespace bluebellspoke
{

/// Duration of a leader lease, counted from when the first status request of
/// its proof was sent. A promotion waits as long, which makes this the largest
/// part of a failover that bluebellspoke itself adds; half the duration would
/// need twice as many status requests.
inline constexpr std::chrono::milliseconds leader_lease_duration{1500};
/// Added to the wait of a promotion for clock rate differences: 1 % of
/// leader_lease_duration.
inline constexpr std::chrono::milliseconds leader_lease_clock_margin{15};
/// A lease is renewed when less than this remains: enough for two status
/// requests that fail, one status_interval apart, and a third one.
inline constexpr std::chrono::milliseconds leader_lease_renewal_margin{600};
/// Interval between the status requests to an endpoint.
inline constexpr std::chrono::milliseconds status_interval{250};
/// How long a replica must have been observed to follow the term without a gap
/// before its status counts as proof while no lease is in force. A replica that
/// a promotion didn't involve learns of the new term within about 100 ms, or
/// its status shows that it doesn't.
inline constexpr std::chrono::milliseconds min_following_time{1000};
/// How long a replica must have been listed when it is asked before its status
/// counts as proof: promotion_order_lifetime and 1 s. A failover that began
/// before it was listed may not count it, and so not fence it.
inline constexpr std::chrono::milliseconds member_settling_time{5000};
/// How long after the last lease of a term the next one may be seen first, and
/// count as one that has just begun: a failover that takes longer may be
/// followed by another one before this process sees its result.
inline constexpr std::chrono::milliseconds max_lease_gap{4000};
/// Position samples closer together than this are merged into one.
inline constexpr std::chrono::milliseconds min_sample_interval{20};
/// Samples older than this are dropped. The longest staleness bound of the
/// described deployments is 2.5 s, so no route needs them.
inline constexpr std::chrono::seconds max_sample_age{6};

/// The primary's log did not extend beyond m_position when the request was
/// sent at m_asked_at.
struct position_sample
{
    time_point m_asked_at{};
    log_position m_position;
};

/// The last status of an endpoint and the times of its request and response.
struct endpoint_observation
{
    endpoint_status m_status;
    time_point m_asked_at{};
    time_point m_answered_at{};     ///< The status was taken earlier.
    time_point m_following_since{}; ///< Without a gap of
                                    ///< leader_lease_duration.
};

/// What one process knows of a group: its primary, and until when no other
/// endpoint can have been promoted.
struct group_view
{
    std::uint32_t m_sync_replicas = 0;
    term_number m_term = 0;          ///< Highest term observed at any endpoint.
    std::string m_primary;           ///< In m_term; empty: unknown.
    time_point m_term_grace_until{}; ///< See commits_allowed_until.
    time_point m_primary_seen_at{};  ///< Request of the last status by which
                                     ///< m_primary led.
    time_point m_invalidated_at{};   ///< When m_primary was last found not to
                                     ///< lead, or gone.
    time_point m_lease_until{};      ///< No later term takes effect earlier.
    std::map<std::string, endpoint_observation, std::less<>>
        m_observations; ///< By id.
    /// When endpoints that were listed later than the group itself settle, by
    /// id; time_point::max() for one that isn't listed any more. An endpoint
    /// without an entry has always been listed.
    std::map<std::string, time_point, std::less<>> m_settles_at;
    std::size_t m_member_count =
        0;                         ///< Number of endpoints in the group's list.
    term_number m_paused_term = 0; ///< Highest term above m_term for which an
                                   ///< endpoint was paused; 0: none.
    std::deque<position_sample> m_samples; ///< Of m_primary, oldest first.
};

/// Records an endpoint's status that was requested at `asked_at` and received
/// at `answered_at`. Returns true when the primary changed.
bool record_status(group_view& g, std::string_view id,
                   const endpoint_status& status, time_point asked_at,
                   time_point answered_at);
/// Records a commit that was sent to the endpoint at `asked_at` and
/// acknowledged by it. It renews no lease: the replicas that took part may be
/// ones that a failover doesn't count.
void record_commit(group_view& g, std::string_view id, log_position position,
                   time_point asked_at);
/// Records that the primary's log ended at or before the position when a
/// request was sent to it at `asked_at`.
void record_sample(group_view& g, log_position position, time_point asked_at);
/// Records the position that an endpoint reported in any response.
void record_position(group_view& g, std::string_view id, log_position position,
                     time_point asked_at);
/// Records that a term above m_term was first seen by a request at `seen_at`,
/// before start_term.
void note_new_term(group_view& g, time_point seen_at);
/// Starts a term under this primary; what was known of an earlier one doesn't
/// count any more. An empty primary is unknown.
void start_term(group_view& g, term_number term, std::string_view primary);
/// Clears the primary if it is `id`: the endpoint reported at `now` that it
/// doesn't lead, or its connections were lost.
void invalidate_primary(group_view& g, std::string_view id, time_point now);
/// Removes an endpoint that has left the group or restarted under the same id,
/// as was found at `now`.
void forget_endpoint(group_view& g, std::string_view id, time_point now);
/// Records that an endpoint was added to the group's list, or that it started
/// again under its id, as was found at `now`.
void record_listed(group_view& g, std::string_view id, time_point now);
/// Records that an endpoint isn't listed any more.
void record_unlisted(group_view& g, std::string_view id);
/// Returns true if the endpoint had been listed for member_settling_time at
/// `at`, so that its status counts as proof.
bool is_settled(const group_view& g, std::string_view id, time_point at);

/// Returns true when a read that arrived at `arrived_at` and tolerates data as
/// old as `staleness` may run at the primary.
bool may_read_primary(const group_view& g, time_point arrived_at,
                      duration staleness);
/// Returns until when the current term's commits may be sent, and their
/// acknowledgements passed on: while a lease is in force, and for one lease's
/// duration after the term was first seen, if a lease of the term before ended
/// within max_lease_gap.
time_point commits_allowed_until(const group_view& g);
/// Returns true when the acknowledgement of a commit that got this position may
/// be passed on at `now`, also if the primary has since been lost.
bool is_commit_proved(const group_view& g,
                      const std::optional<log_position>& position,
                      time_point now);
/// Returns the newest known position of the primary.
std::optional<log_position> newest_position(const group_view& g);
/// Returns the position that a replica must have reached to serve such a read,
/// or nullopt when no sample is recent enough.
std::optional<log_position>
staleness_floor(const group_view& g, time_point arrived_at, duration staleness);
/// Returns `floor` raised to `own`, the position of the session's own last
/// commit, so that the session reads its own writes.
std::optional<log_position>
session_floor(const group_view& g, const std::optional<log_position>& floor,
              const std::optional<log_position>& own);
/// Returns the latest time for which m_sync_replicas listed replicas are known
/// to have everything that the primary's log held then, or zero.
time_point replicated_until(const group_view& g);
/// Returns the replicas whose last status showed them paused, by id.
std::vector<std::string> paused_replicas(const group_view& g);
/// Returns true when the primary is unknown or the lease ends within `margin`.
bool needs_status(const group_view& g, time_point now,
                  duration margin = leader_lease_renewal_margin);

}

#endif
