#ifndef BLUEBELLSPOKE_SESSION_FAILOVER_TASK_STATE_HPP
#define BLUEBELLSPOKE_SESSION_FAILOVER_TASK_STATE_HPP

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <decide/group_view.hpp>
#include <decide/takeover.hpp>
#include <report/event.hpp>
#include <report/task_usage.hpp>
#include <session/duty_client.hpp>
#include <session/failover_task.hpp>
#include <session/order_connection.hpp>
#include <session/session_messages.hpp>

namespace bluebellspoke
{

/// The interval at which the task checks the duty and all groups.
inline constexpr std::chrono::milliseconds failover_tick{50};
/// An endpoint that doesn't answer an order within this time counts as
/// unreachable. A new connection and an answer take four round trips between
/// regions.
inline constexpr std::chrono::milliseconds group_order_timeout{500};
/// The interval between rounds of orders while too few members are fenced.
inline constexpr std::chrono::milliseconds order_retry_interval{200};
/// A takeover that hasn't fenced enough members within this time gives up and
/// resumes them.
inline constexpr std::chrono::seconds fencing_timeout{3};
/// The interval at which fenced members are polled until one of them leads.
inline constexpr std::chrono::milliseconds fence_poll_interval{100};
/// How long a holder waits for the store's list of endpoints before it asks
/// again. A call to the store takes 1.2 s at most.
inline constexpr std::chrono::milliseconds member_list_timeout{1300};
/// The delay before the next attempt after a takeover that was given up.
inline constexpr std::chrono::milliseconds takeover_retry_delay{500};
/// How long the task keeps asking a replaced primary that doesn't answer to
/// step down.
inline constexpr std::chrono::seconds step_down_timeout{15};

/// A group member in the current takeover, and the connection to it.
struct takeover_participant
{
    site_endpoint m_endpoint;
    takeover_member m_member;
    std::unique_ptr<order_connection> m_connection;
    bool m_reply_pending = false;
    bool m_pause_sent = false; ///< It may be paused by this takeover.
};

/// The address at which one log of a group is kept. The log outlives its
/// endpoint's process.
struct group_log_location
{
    time_point m_seen_at{};
    bool m_drained = false;   ///< Its endpoint was draining when last seen.
    time_point m_listed_at{}; ///< When this start of it was first listed.
    bool m_empty = false;     ///< It held nothing when its endpoint last
                              ///< answered in the current takeover.
    /// As last listed; without an id if only an earlier holder has seen it.
    site_endpoint m_endpoint;
};

/// A replaced primary that is asked to step down until it answers. A later
/// takeover of its group changes none of this.
struct pending_step_down
{
    term_number m_term = 0; ///< Of the takeover that replaced it.
    time_point m_until{};
    time_point m_next_at{}; ///< The next attempt, at the earliest.
    std::unique_ptr<order_connection> m_connection;
    bool m_is_done = false; ///< It has answered.
};

/// A promotion order that this process has sent.
struct sent_order
{
    std::string m_endpoint; ///< Empty: none.
    time_point m_at{};
};

/// A group of endpoints, and its current takeover if there is one.
struct failover_group
{
    takeover_state m_state = takeover_state::led;
    primary_report m_report;
    std::map<address, group_log_location> m_log_locations;
    /// When those endpoints ended at the latest that restarted under their ids,
    /// or that an earlier build counted without their addresses.
    std::vector<time_point> m_lost_logs;
    std::uint32_t m_size = 0;      ///< Logs that are listed or gone.
    term_number m_newest_term = 0; ///< That an earlier takeover may have begun.
    final_position m_end;          ///< Of the newest term that has ended.
    time_point m_end_found_at{};
    time_point m_primary_contact_at{}; ///< The last time that one answered.
    std::string m_last_primary;        ///< The last one that was reported.
    term_number m_last_primary_term = 0;
    takeover_reason m_reason = takeover_reason::none;
    time_point m_began_at{};
    time_point m_next_action_at{}; ///< When the current state acts next.
    term_number m_term = 0;        ///< The term that members are fenced for.
    term_number m_old_term = 0;    ///< The term to be ended.
    std::string m_old_primary;
    std::string m_successor;     ///< Chosen by the current takeover.
    ordered_promotion m_ordered; ///< By this or the last duty holder.
    sent_order m_last_order;     ///< Kept after it has expired, for the log.
    std::vector<takeover_participant> m_members;
    time_point m_next_poll_at{};   ///< When fenced members are polled next.
    std::uint64_t m_review = 0;    ///< Number of the last request for the list.
    bool m_members_listed = false; ///< The store's list was just read.
    time_point m_unconfirmed_since{}; ///< Of the fence, before an order.
    std::map<std::string, pending_step_down> m_step_downs; ///< By endpoint.
    /// Replicas that stayed paused without a takeover, and are resumed.
    std::map<std::string, std::unique_ptr<order_connection>> m_resumed;
    time_point m_next_resume_at{};
};

/// What the metrics show of all failovers since the start.
struct failover_counts
{
    std::map<takeover_reason, std::uint64_t> m_begun;
    std::uint64_t m_fences_lost = 0;
    std::map<promotion_order_result, std::uint64_t> m_orders;
    /// Endpoints that were listed while their group was being taken over.
    std::uint64_t m_joined = 0;
};

/// The state that the failover task owns.
struct failover_task_state
{
    failover_task_state(const site_settings& settings,
                        const failover_dependencies& dependencies,
                        const site_charts& charts, site_mailboxes& boxes);

    const site_settings& m_settings;
    const session_codec& m_session_codec;
    const site_codec& m_site_codec;
    const site_charts& m_charts;
    site_mailboxes& m_boxes;
    loop m_loop;
    object_store m_store;
    send_promotion_function m_send_promotion;
    timer m_tick;
    site_config_ptr m_config;
    endpoint_snapshot_ptr m_endpoints;
    std::map<std::string, failover_group, std::less<>> m_groups;

    duty_client m_duty;
    /// False while a cell leader competes in place of this process.
    bool m_is_candidate = true;
    bool m_stopping = false;
    std::uint64_t m_promotions = 0;
    failover_counts m_counts;
    task_usage m_usage{.m_task = "failover", .m_tick = failover_tick};
};

// failover_duty.cpp
/// What the duty client calls. m_on_recorded continues the takeovers that wait
/// for their orders to be stored.
duty_handlers make_duty_handlers(failover_task_state& t);

// failover_log.cpp
std::string_view to_string(promotion_order_result result) noexcept;
/// Says how many ms ago the list had last been confirmed when it was published.
std::string describe_confirmation(const endpoint_snapshot& list,
                                  time_point now);
/// Logs each endpoint that is listed, vanishes, starts again or begins to drain
/// with the next list while its group is being taken over.
void log_members_changed(failover_task_state& t, const endpoint_snapshot& next);
/// Logs and counts the result of a promotion order.
void log_order_answered(failover_task_state& t, const std::string& service,
                        const sent_order& order, promotion_order_result result);
/// Says how many ms ago the last promotion order was sent.
std::string describe_order_age(const failover_group& g, time_point now);

// failover_fencing.cpp
/// Starts the replacement of a group's primary.
void begin_takeover(failover_task_state& t, const std::string& service,
                    failover_group& g, takeover_reason reason);
/// Asks each member for its status, and fences each one whose status is known:
/// a primary steps down, a replica pauses.
void fence_members(failover_task_state& t, const std::string& service,
                   failover_group& g);
void advance_fencing(failover_task_state& t, const std::string& service,
                     failover_group& g, time_point now);
/// Returns null, and logs it, if the event loop can't take a connection.
std::unique_ptr<order_connection> open_order_connection(failover_task_state& t,
                                                        const site_endpoint& e);
takeover_participant* find_member(failover_group& g, std::string_view id);
/// Sends an order to a member, unless one is pending there.
void send_group_order(failover_task_state& t, const std::string& service,
                      failover_group& g, takeover_participant& m,
                      group_order order);
/// Asks all members for their statuses, at most once each
/// fence_poll_interval. A primary of the old term is told to step down.
void poll_members(failover_task_state& t, const std::string& service,
                  failover_group& g, time_point now);
/// Ends the step-downs of members whose term isn't the newest that the members
/// or this process's session task know. Called before each decision on the
/// fence.
void end_old_step_downs(failover_group& g, time_point now);
/// Returns the member that reports to be the primary of a newer term, or null.
const takeover_participant* find_new_primary(const failover_group& g);
/// Returns the primary that leads by an order which is still pending, or null.
const takeover_participant* find_ordered_primary(const failover_group& g,
                                                 time_point now);
/// Logs the state of all members of a takeover.
void log_fence(event_id id, const std::string& service,
               const failover_group& g);
/// Evaluates the fence by what the members have reported lately.
fence_state check_fence(const failover_task_state& t,
                        const std::string& service, const failover_group& g,
                        time_point now);

// failover_members.cpp
/// Starts the list of members of a takeover: all endpoints of the group that
/// are listed, and those that were until a while ago.
void collect_members(const failover_task_state& t, const std::string& service,
                     failover_group& g);
/// Applies changes of the list of endpoints to the members of a takeover.
void update_members(const failover_task_state& t, const std::string& service,
                    failover_group& g);
/// Asks the store for the list of endpoints, whose answer sets
/// m_members_listed for max_fence_age, and adds members that it has beside the
/// known ones.
void list_members(failover_task_state& t, const std::string& service,
                  failover_group& g);
/// Returns the members that the decision is made on. Logs whose endpoint is
/// unknown count as unreachable members; empty ones don't count.
std::vector<takeover_member> decision_members(const failover_group& g);
/// Returns the newest term of the group that has begun, or may have by an
/// earlier holder's order.
term_number newest_known_term(const failover_group& g);
/// Returns where the newest term has ended, if that is known and no order may
/// have begun another one.
std::optional<log_position> end_of_newest_term(const failover_group& g,
                                               time_point now);
void update_log_locations(failover_task_state& t);
/// Takes over which logs are gone from an earlier holder's record, which this
/// process first saw at `recorded_at`.
void adopt_recorded_logs(failover_task_state& t, const duty_record& record,
                         time_point recorded_at);
/// Sets what a later holder has to know of the groups' logs and terms.
void record_logs(const failover_group& g, const std::string& service,
                 duty_record& record);

// failover_pauses.cpp
/// Resumes the members that a takeover paused before it was given up.
void resume_members(failover_task_state& t, const std::string& service,
                    failover_group& g);
/// Resumes replicas that are paused although no takeover is in progress: the
/// process that paused them has ended, or lost the duty.
void advance_pauses(failover_task_state& t, const std::string& service,
                    failover_group& g, time_point now);

// failover_groups.cpp
/// Fires an event on the group's takeover chart.
void fire(failover_task_state& t, const std::string& service, failover_group& g,
          takeover_event event);
void advance_groups(failover_task_state& t, time_point now);
/// Continues the takeovers that waited for their orders to be stored.
void handle_orders_recorded(failover_task_state& t);
/// Ends the takeovers that need the duty.
void handle_duty_lost(failover_task_state& t);

}

#endif
