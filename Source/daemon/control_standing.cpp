#include <daemon/control_state.hpp>

#include <utility>
#include <vector>

#include <report/event.hpp>

namespace bluebellspoke
{

void tell_standing(control_state& c)
{
    // What isn't known can't be current.
    if (!c.m_published)
        return;
    const witnessed_standing listed = standing_of(c);
    const std::vector<witnessed_standing> among = member_standings_of(c);
    std::vector<standing_view> views{listed.m_view};
    for (const witnessed_standing& s : among)
        views.push_back(s.m_view);
    const standing now = evaluate_standing(views, monotonic_clock::now());
    const time_point until =
        now == standing::lapsed ? time_point::min() : standing_until(views);
    c.m_boxes.m_front.post(standing_changed{now, until});
    c.m_boxes.m_admin.post(standing_changed{now, until});
    if (now == std::exchange(c.m_standing, now))
        return;
    log_event(event_id::standing_changed,
              {{"standing", std::string(to_string(now))}});
}

}
