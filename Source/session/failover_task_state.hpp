#ifndef BLUEBELLSPOKE_SESSION_FAILOVER_TASK_STATE_HPP
#define BLUEBELLSPOKE_SESSION_FAILOVER_TASK_STATE_HPP

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <decide/duty_lease.hpp>
#include <decide/group_view.hpp>
#include <decide/takeover.hpp>
#include <report/task_usage.hpp>
#include <session/failover_task.hpp>
#include <session/group_call.hpp>
#include <session/session_messages.hpp>

namespace bluebellspoke
{

/// From one look at the groups to the next.
inline constexpr std::chrono::milliseconds failover_tick{50};
/// An endpoint that hasn't answered an order by then is out of reach: a new
/// connection and an answer take four round trips between regions.
inline constexpr std::chrono::milliseconds order_limit{500};
/// From one round of orders to the next while too few are touched.
inline constexpr std::chrono::milliseconds round_pause{200};
/// After it a takeover that can't touch enough endpoints lets them go.
inline constexpr std::chrono::seconds touch_limit{3};
/// Pause after a takeover was given up.
inline constexpr std::chrono::milliseconds given_up_pause{500};
/// How long a new primary may take to lead before it is ordered again.
inline constexpr std::chrono::milliseconds lead_limit{2000};
/// How long an endpoint's place in its group counts after it has gone: while
/// its log may be the only one beside the primary's with a commit.
inline constexpr std::chrono::seconds left_place_age{5};
inline constexpr std::chrono::seconds lost_place_age{60};
/// How long a replaced primary that didn't answer is asked to step down.
inline constexpr std::chrono::seconds step_down_span{15};

/// A member in the takeover under way.
struct touched_member
{
    site_endpoint m_endpoint;
    takeover_member m_member;
    std::unique_ptr<group_call> m_call;
    bool m_asked = false;
    time_point m_touched_at{};
};

/// One place of a group: the address that its log stays at.
struct group_place
{
    time_point m_seen_at{};
    bool m_left = false; ///< It drained before it went.
};

/// One group and its takeover, if there is one.
struct failover_group
{
    takeover_state m_state = takeover_state::led;
    primary_report m_report;
    std::map<address, group_place> m_places;
    std::uint32_t m_size = 0; ///< Of the group, with places not seen lately.
    takeover_reason m_reason = takeover_reason::none;
    time_point m_began_at{};
    time_point m_next_at{};     ///< When something is due in this state.
    term_number m_term = 0;     ///< For which members are touched.
    term_number m_old_term = 0; ///< That is to end.
    std::string m_old_primary;
    std::string m_successor;
    bool m_may_be_under_way = false; ///< An order of this or the last holder.
    std::vector<touched_member> m_members;
    std::unique_ptr<group_call> m_step_down;
    time_point m_step_down_until{};
};

/// Everything that the failover task owns.
struct failover_task_state
{
    failover_task_state(const site_settings& settings,
                        const failover_surroundings& around,
                        const site_charts& charts, site_mailboxes& boxes);

    const site_settings& m_settings;
    const session_codec& m_codec;
    const site_codec& m_values;
    const site_charts& m_charts;
    site_mailboxes& m_boxes;
    loop m_loop;
    object_store m_store;
    send_promotion m_order;
    timer m_tick;
    site_config_ptr m_config;
    endpoint_snapshot_ptr m_endpoints;
    std::map<std::string, failover_group, std::less<>> m_groups;

    std::uint64_t m_incarnation = 0;
    std::optional<duty_sighting> m_duty;
    time_point m_renewed_at{};    ///< Zero: this process doesn't hold the duty.
    bool m_duty_call = false;     ///< A call for the duty is under way.
    time_point m_duty_at{};       ///< Of the next call.
    time_point m_stale_until{};   ///< Cheap answers are too old to go by.
    bool m_record_wanted = false; ///< What is ordered has changed.
    bool m_stopping = false;
    std::uint64_t m_promotions = 0;
    task_usage m_usage{.m_task = "failover", .m_tick = failover_tick};
};

// failover_duty.cpp
bool holds_duty(const failover_task_state& t, time_point now);
void tend_duty(failover_task_state& t, time_point now);
/// What is ordered has changed: writes it at once. The groups hear of it
/// through note_recorded.
void record_orders(failover_task_state& t);
void release_duty(failover_task_state& t);

// failover_touching.cpp
/// Begins to replace a group's primary.
void begin_takeover(failover_task_state& t, const std::string& service,
                    failover_group& g, takeover_reason reason);
/// Asks each member for its status, and once that is known takes it out of the
/// old term.
void touch(failover_task_state& t, const std::string& service,
           failover_group& g);
void tend_touching(failover_task_state& t, const std::string& service,
                   failover_group& g, time_point now);
/// Nothing when there is no loop event to be had; that is logged.
std::unique_ptr<group_call> open_call(failover_task_state& t,
                                      const site_endpoint& e);
touched_member* find_member(failover_group& g, std::string_view id);
/// Sends an order to a member, unless one is under way there.
void ask_member(failover_task_state& t, const std::string& service,
                failover_group& g, touched_member& m, group_order order);
/// Somebody leads after all, by what the members say.
bool is_led(const failover_group& g);

// failover_groups.cpp
/// Moves the group's state chart.
void fire(failover_task_state& t, const std::string& service, failover_group& g,
          takeover_event event);
void update_places(failover_task_state& t);
void tend_groups(failover_task_state& t, time_point now);
/// The duty's object holds what this process has decided.
void note_recorded(failover_task_state& t);
void note_duty_lost(failover_task_state& t);

}

#endif
