#include <session/site_task_state.hpp>

#include <algorithm>
#include <utility>

#include <decide/usage_bounds.hpp>
#include <decide/usage_report.hpp>
#include <report/event.hpp>
#include <session/milliseconds_of.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

window_id first_counted(const site_task_state& t, time_point now)
{
    return first_kept(true_now(t, now), t.m_settings.m_report_window,
                      usage_count_retention);
}

window_id current_window(const site_task_state& t, time_point now)
{
    return window_at(true_now(t, now), t.m_settings.m_report_window);
}

// How far ahead another process's clock may be, in windows: what it sends on
// its own account, and what it answers. A window that was final there isn't
// asked for again, so answers are only bounded.
constexpr window_id max_sent_ahead = 1;
constexpr window_id max_answered_ahead = 16;

// Anybody who reaches the peer port may send counts, and a source may only
// speak for itself.
void apply_received(site_task_state& t, usage_ledger& ledger,
                    std::string_view source, usage_summary summary,
                    window_id ahead)
{
    const time_point now = boot_now();
    const std::size_t ignored =
        summary.m_source != source
            ? 1
            : bound_usage(summary, {first_counted(t, now),
                                    current_window(t, now) + ahead});
    if (ignored > 0)
    {
        t.m_ignored_counts += ignored;
        log_event(event_id::usage_counts_ignored,
                  {{"source", std::string(source)},
                   {"counts", std::to_string(ignored)}});
    }
    if (summary.m_source == source)
        apply_summary(ledger, summary);
}

// Only cell leaders collect what a holder needs; without cells any process can.
void update_candidacy(site_task_state& t, time_point now)
{
    const bool is_member = t.m_members.contains(t.m_settings.m_name);
    const bool is_candidate =
        is_member && !t.m_ending && (!has_zone_cells(t) || leads_cell(t, now));
    if (std::exchange(t.m_collection.m_is_candidate, is_candidate) !=
        is_candidate)
        t.m_boxes.m_usage.post(usage_candidacy{is_candidate});
}

void request_usage(site_task_state& t, site_peer& p, bool of_cell,
                   std::string_view source, const usage_question& question)
{
    if (std::exchange(p.m_usage_pending, true))
        return;
    send_to_peer(
        t, *p.m_client,
        peer_usage_request{of_cell, question.m_incarnation, question.m_from},
        [&t, &p, of_cell,
         source = std::string(source)](std::optional<peer_message>& answer)
        {
            p.m_usage_pending = false;
            const auto* m =
                answer ? std::get_if<peer_usage>(&*answer) : nullptr;
            if (m == nullptr)
                return;
            p.m_usage_answered_at = boot_now();
            apply_received(
                t, of_cell ? t.m_collection.m_cells : t.m_collection.m_members,
                source, m->m_summary, max_answered_ahead);
        });
}

// The members that this process collects from, including itself.
std::set<std::string, std::less<>> counted_members(const site_task_state& t)
{
    if (has_zone_cells(t))
        return cell_members(t);
    std::set<std::string, std::less<>> names;
    for (const auto& [name, m] : t.m_members)
        names.insert(name);
    return names;
}

expected_sources expected_members(const site_task_state& t)
{
    expected_sources expected;
    for (const std::string& name : counted_members(t))
        expected[name] = 1;
    return expected;
}

expected_sources expected_cells(const site_task_state& t)
{
    expected_sources expected;
    for (const auto& [name, m] : t.m_members)
        ++expected[m.m_zone];
    return expected;
}

void request_from_members(site_task_state& t)
{
    for (const std::string& name : counted_members(t))
    {
        const auto p =
            t.m_peers.find(to_string(t.m_members.at(name).m_address));
        if (name != t.m_settings.m_name && p != t.m_peers.end())
            request_usage(t, p->second, false, name,
                          next_question(t.m_collection.m_members, name));
    }
}

void request_from_cells(site_task_state& t)
{
    for (const auto& [zone, other] : t.m_cell.m_other_cells)
    {
        const auto p = t.m_peers.find(other.m_leader_address);
        if (p != t.m_peers.end())
            request_usage(t, p->second, true, zone,
                          next_question(t.m_collection.m_cells, zone));
    }
}

usage_summary summarize_cell(site_task_state& t, window_id from, time_point now)
{
    const usage_ledger& members = t.m_collection.m_members;
    const expected_sources expected = expected_members(t);
    usage_summary summary;
    summary.m_source = t.m_settings.m_zone;
    summary.m_incarnation = t.m_cell.m_incarnation;
    summary.m_version = ++t.m_collection.m_version;
    summary.m_final_before = final_before(members, expected);
    for (window_id id = std::max(from, first_counted(t, now));
         id <= current_window(t, now); ++id)
    {
        collected_window w =
            collect_window(members, id, expected, usage_merge::sum);
        summary.m_windows[id] = {std::move(w.m_counts), w.m_missing};
    }
    return summary;
}

void post_collected(site_task_state& t, time_point now)
{
    usage_collection& u = t.m_collection;
    const bool cells = has_zone_cells(t);
    if (cells)
        apply_summary(u.m_cells, summarize_cell(t, 0, now));
    const expected_sources expected =
        cells ? expected_cells(t) : expected_members(t);
    collected_windows windows;
    for (window_id id = first_counted(t, now); id < current_window(t, now);
         ++id)
        windows[id] =
            cells
                ? collect_window(u.m_cells, id, expected, usage_merge::greatest)
                : collect_window(u.m_members, id, expected, usage_merge::sum);
    t.m_boxes.m_usage.post(usage_collected{std::move(windows)});
}

void send_own_usage(site_task_state& t, const std::string& name, window_id from)
{
    const auto p = t.m_peers.find(to_string(t.m_members.at(name).m_address));
    if (t.m_collection.m_own.m_version > 0 && name != t.m_settings.m_name &&
        p != t.m_peers.end())
        send_to_peer(t, *p->second.m_client,
                     peer_usage{summary_from(t.m_collection.m_own, from)},
                     [](std::optional<peer_message>&) {});
}

// Nobody asks a cell leader, or a holder without a cell, for what it counted
// itself. It gives that to those who may succeed it: the next two in rank, as
// the next one may be ending too, or else all members.
void back_up_own_usage(site_task_state& t)
{
    constexpr std::size_t successors = 2;
    // A message may be lost, so the last windows that are final are repeated.
    constexpr window_id repeated = 2;
    const usage_summary& own = t.m_collection.m_own;
    const window_id from =
        own.m_final_before - std::min(repeated, own.m_final_before);
    if (!has_zone_cells(t))
    {
        for (const std::string& name : counted_members(t))
            send_own_usage(t, name, from);
        return;
    }
    std::size_t sent = 0;
    for (const cell_rank& rank : cell_ranks(t, t.m_settings.m_zone))
        if (rank.m_name != t.m_settings.m_name && sent++ < successors)
            send_own_usage(t, rank.m_name, from);
}

// Returns true if everybody whom this holder asks has answered since it got the
// duty.
bool have_all_answered(const site_task_state& t)
{
    const usage_collection& u = t.m_collection;
    const auto has_answered = [&](const std::string& at)
    {
        const auto p = t.m_peers.find(at);
        return p != t.m_peers.end() &&
               p->second.m_usage_answered_at > u.m_held_since;
    };
    for (const std::string& name : counted_members(t))
        if (name != t.m_settings.m_name &&
            !has_answered(to_string(t.m_members.at(name).m_address)))
            return false;
    if (!has_zone_cells(t))
        return true;
    return std::ranges::all_of(
        cell_zones(t),
        [&](const std::string& zone)
        {
            const auto other = t.m_cell.m_other_cells.find(zone);
            return zone == t.m_settings.m_zone ||
                   (other != t.m_cell.m_other_cells.end() &&
                    has_answered(other->second.m_leader_address));
        });
}

std::optional<duration> time_until_report(const site_task_state& t,
                                          time_point now)
{
    if (!t.m_collection.m_last_window)
        return std::nullopt;
    return window_end(*t.m_collection.m_last_window + 1,
                      t.m_settings.m_report_window) +
           t.m_settings.m_usage_delay - true_now(t, now);
}

// Windows may be due when the duty is gained, so a new holder passes on what it
// has collected as soon as its requests have been answered.
void pass_on_first_counts(site_task_state& t, time_point now)
{
    usage_collection& u = t.m_collection;
    const collection_end end = end_first_collection(
        {u.m_held_since, have_all_answered(t), time_until_report(t, now)}, now);
    if (end == collection_end::none)
        return;
    u.m_has_passed_on = true;
    log_event(event_id::usage_collected_first,
              {{"cause", std::string(to_string(end))},
               {"after_ms", milliseconds_of(now - u.m_held_since)}});
    post_collected(t, now);
}

void collect_usage_counts(site_task_state& t, time_point now)
{
    usage_collection& u = t.m_collection;
    if (now - u.m_requested_at < usage_request_interval)
    {
        if (u.m_holds_duty && !u.m_has_passed_on)
            pass_on_first_counts(t, now);
        return;
    }
    u.m_requested_at = now;
    drop_windows_before(u.m_members, first_counted(t, now));
    drop_windows_before(u.m_cells, first_counted(t, now));
    const bool leads = leads_cell(t, now);
    if (leads || u.m_holds_duty)
    {
        request_from_members(t);
        back_up_own_usage(t);
    }
    if (!u.m_holds_duty)
        return;
    if (leads)
        request_from_cells(t);
    if (u.m_has_passed_on)
        post_collected(t, now);
    else
        pass_on_first_counts(t, now);
}

}

bool reports_usage(const site_task_state& t)
{
    return t.m_settings.m_report_window != duration{};
}

void advance_usage(site_task_state& t, time_point now)
{
    if (!reports_usage(t))
        return;
    advance_true_time(t, now);
    update_candidacy(t, now);
    collect_usage_counts(t, now);
}

void apply_own_usage(site_task_state& t, const usage_counted& m)
{
    usage_collection& u = t.m_collection;
    u.m_own = m.m_summary;
    u.m_own.m_source = t.m_settings.m_name;
    u.m_own.m_incarnation = t.m_incarnation;
    apply_summary(u.m_members, u.m_own);
}

void apply_peer_usage(site_task_state& t, const peer_usage& m)
{
    // Anybody who reaches the port may send it.
    if (!reports_usage(t) || !t.m_members.contains(m.m_summary.m_source))
        return;
    apply_received(t, t.m_collection.m_members, m.m_summary.m_source,
                   m.m_summary, max_sent_ahead);
}

void apply_usage_duty(site_task_state& t, const usage_duty_changed& m)
{
    t.m_collection.m_holds_duty = m.m_is_held;
    t.m_collection.m_has_passed_on = false;
    t.m_collection.m_last_window = m.m_last_window;
    t.m_collection.m_held_since = boot_now();
    t.m_collection.m_requested_at = {};
}

peer_message answer_usage_request(site_task_state& t,
                                  const peer_usage_request& m)
{
    const time_point now = boot_now();
    const usage_collection& u = t.m_collection;
    const peer_declined declined{t.m_settings.m_name};
    if (!reports_usage(t) || u.m_own.m_version == 0)
        return declined;
    const auto from_for = [&m](std::uint64_t incarnation)
    {
        return m.m_incarnation == incarnation ? m.m_from : window_id{0};
    };
    if (!m.m_of_cell)
        return peer_usage{summary_from(u.m_own, from_for(t.m_incarnation))};
    if (!leads_cell(t, now))
        return declined;
    return peer_usage{summarize_cell(t, from_for(t.m_cell.m_incarnation), now)};
}

void hand_over_usage(site_task_state& t)
{
    if (!reports_usage(t))
        return;
    for (const std::string& name : counted_members(t))
        send_own_usage(t, name, 0);
}

}
