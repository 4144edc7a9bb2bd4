#ifndef BLUEBELLSPOKE_REPORT_EVENT_HPP
#define BLUEBELLSPOKE_REPORT_EVENT_HPP

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace bluebellspoke
{

/// Numbered events; docs/EVENTS.md is their catalogue.
enum class event_id : std::uint16_t
{
    daemon_started = 1001,
    daemon_draining = 1002,
    daemon_stopped = 1003,
    daemon_failed = 1004,
    certificates_reloaded = 1005,
    certificates_refused = 1006,
    drain_cut = 1007,
    log_lines_dropped = 1008,
    task_usage = 1009,
    settings_in_force = 2001,
    settings_refused = 2002,
    platform_lost = 2003,
    platform_back = 2004,
    settings_reverted = 2005,
    standing_changed = 2006,
    settings_adopted = 2007,
    store_entry_unreadable = 2008,
    zone_changed = 2009,
    settings_file_read = 2010,
    settings_file_refused = 2011,
    peer_reached = 2012,
    peer_lost = 2013,
    member_removed = 2014,
    cell_kept = 2015,
    cell_yielded = 2016,
    settings_fetch_failed = 2017,
    settings_fetch_useless = 2018,
    watch_relayed = 2019,
    watch_resumed = 2020,
    peer_traffic = 2021,
    settings_delta_refused = 2022,
    group_change_refused = 2027,
    restart_checked = 2028,
    fleet_epoch_followed = 2101,
    fleet_epoch_refused = 2102,
    endpoint_reached = 3001,
    endpoint_unreachable = 3002,
    endpoint_full = 3003,
    primary_missed = 3010,
    primary_found = 3011,
    election_begun = 3012,
    election_lost = 3013,
    promotion_ordered = 3014,
    follow_ordered = 3015,
    primary_starved = 3016,
    connection_withdrawn = 3017,
    endpoint_unreadable = 3018,
    duty_taken = 3019,
    duty_lost = 3020,
    takeover_begun = 3021,
    takeover_done = 3022,
    takeover_given_up = 3023,
    endpoint_part_changed = 3024,
    takeover_touched = 3025,
    takeover_fence_lost = 3026,
    replica_resumed = 3027,
    endpoint_list_known = 3035,
    endpoint_listed = 3036,
    endpoint_unlisted = 3037,
    endpoint_draining_changed = 3038,
    takeover_member_changed = 3039,
    promotion_answered = 3041,
    endpoint_chosen = 3040,
    usage_reported = 3030,
    usage_report_delayed = 3031,
    usage_windows_skipped = 3032,
    true_time_followed = 3033,
    usage_collected_first = 3034,
    session_refused = 4001,
    statement_failed = 4002,
    transaction_expired = 4003,
    session_started = 4004,
    statement_waits = 4005,
    statement_sent = 4006,
    statement_retried = 4007,
    statement_served = 4008,
    connection_opened = 4009,
    connection_closed = 4010,
    session_passed_on = 4040,
    session_left_home = 4041,
    home_lost = 4042,
    statement_passed_on = 4043,
    relayed_session_accepted = 4044,
    relayed_session_released = 4045,
    homes_chosen = 4046,
    session_address_unusable = 4047,
    client_closed = 4050,
    accepting_paused = 4051,
    session_failed = 4052,
    link_failed = 4065,
    peer_connection_failed = 4066,
    home_link_failed = 4075,
    peer_answer_failed = 4076,
    wait_extended = 4030,
    own_credit_used = 4060,
    cold_start_over = 4061,
    tokens_transferred = 4080,
    acknowledgement_unproven = 4081,
    store_entries_ignored = 3055,
    endpoints_unconfigured = 3056,
    usage_counts_ignored = 3057,
};

enum class event_level : std::uint8_t
{
    detail, ///< Ordinary work, on standard output only; the first to be left
            ///< out.
    info,
    warning,
    error,
};

struct event_entry
{
    event_id m_id;
    event_level m_level;
    std::string_view m_name;
    std::string_view m_meaning;
};

/// Every event, by number.
std::span<const event_entry> event_catalogue() noexcept;

struct event_field
{
    std::string_view m_name;
    std::string m_value; ///< Never a key, a parameter or a statement's text.
};

/// Where log lines go, one JSON object a line.
enum class log_target : std::uint8_t
{
    standard_error,
    /// Never blocks: lines that nobody takes, or that pass the budget of their
    /// event, are counted and dropped.
    standard_output,
};

/// Lines of one event that are written in a second; the rest is counted. A
/// process of the deployments described takes some 60 statements a second, so
/// this shows each that fails but in a storm.
inline constexpr std::uint64_t event_budget = 50;

void start_log(std::string_view process_name,
               log_target target = log_target::standard_error);
/// Lines that were dropped since the start, for whatever reason.
std::uint64_t dropped_log_lines() noexcept;
/// False when a line of the event would be left out now: its fields need not
/// be made then.
bool is_logged(event_id id);
void log_event(event_id id, std::initializer_list<event_field> fields = {});

}

#endif
