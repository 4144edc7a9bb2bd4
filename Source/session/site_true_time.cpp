#include <session/site_task_state.hpp>

#include <algorithm>

#include <report/event.hpp>
#include <task/boot_clock.hpp>
#include <task/wall_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Smaller changes of the offset aren't passed on: one moves a window's edges by
// 0.1 % of its length.
constexpr std::chrono::milliseconds min_offset_change{5};
// Larger changes are logged: clocks that drift by 100 ppm take hours for it.
constexpr std::chrono::milliseconds logged_offset_change{500};

void post_offset(site_task_state& t)
{
    usage_collection& u = t.m_collection;
    const clock_offset change =
        std::chrono::abs(u.m_clock.m_offset - u.m_posted_offset);
    if (change < min_offset_change)
        return;
    if (change >= logged_offset_change)
        log_event(
            event_id::true_time_followed,
            {{"change_ms",
              std::to_string((u.m_clock.m_offset - u.m_posted_offset).count())},
             {"own_clock_off_ms",
              std::to_string((wall_now() - true_now(t, boot_now())).count())}});
    u.m_posted_offset = u.m_clock.m_offset;
    t.m_boxes.m_session.post(true_time_changed{u.m_clock.m_offset});
    t.m_boxes.m_usage.post(true_time_changed{u.m_clock.m_offset});
}

}

unix_time true_now(const site_task_state& t, time_point now)
{
    return time_at(t.m_collection.m_clock.m_offset, now);
}

void start_true_time(site_task_state& t)
{
    usage_collection& u = t.m_collection;
    u.m_clock.m_offset = offset_of(wall_now(), boot_now());
    u.m_posted_offset = u.m_clock.m_offset;
}

std::uint64_t wall_ms_to_send(const site_task_state& t)
{
    return reports_usage(t) ? static_cast<std::uint64_t>(wall_now().count())
                            : 0;
}

std::uint64_t true_ms_to_send(const site_task_state& t)
{
    const time_point now = boot_now();
    return reports_usage(t) && leads_cell(t, now)
               ? static_cast<std::uint64_t>(true_now(t, now).count())
               : 0;
}

void record_peer_clock(site_task_state& t, std::string_view name,
                       std::uint64_t wall_ms)
{
    if (!reports_usage(t) || wall_ms == 0)
        return;
    record_wall_time(t.m_collection.m_clock, name,
                     unix_time(static_cast<std::int64_t>(wall_ms)), boot_now());
}

void follow_leader_clock(site_task_state& t, const peer_vote_request& m)
{
    if (!reports_usage(t) || m.m_true_ms == 0)
        return;
    follow_leader(t.m_collection.m_clock,
                  unix_time(static_cast<std::int64_t>(m.m_true_ms)),
                  boot_now());
    post_offset(t);
}

void advance_true_time(site_task_state& t, time_point now)
{
    site_clock& clock = t.m_collection.m_clock;
    if (!has_zone_cells(t) || leads_cell(t, now))
    {
        const std::size_t sources =
            has_zone_cells(t) ? cell_members(t).size() : t.m_members.size();
        record_wall_time(clock, t.m_settings.m_name, wall_now(), now);
        // A process that is alone doesn't follow the jumps of its own clock.
        constexpr std::size_t min_sources = 2;
        follow_median(clock, std::max(min_sources, sources / 2 + 1), now);
    }
    post_offset(t);
}

}
