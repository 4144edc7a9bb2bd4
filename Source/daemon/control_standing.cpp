#include <daemon/control_state.hpp>

#include <utility>

#include <report/event.hpp>

namespace bluebellspoke
{

void tell_standing(control_state& c)
{
    // What isn't known can't be current.
    if (!c.m_published)
        return;
    const witnessed_standing s = standing_of(c);
    const standing now = judge_standing(s.m_view, monotonic_clock::now());
    const time_point until =
        now == standing::lapsed ? time_point::min() : standing_until(s.m_view);
    c.m_boxes.m_front.post(standing_changed{now, until});
    c.m_boxes.m_admin.post(standing_changed{now, until});
    if (now == std::exchange(c.m_standing, now))
        return;
    log_event(event_id::standing_changed,
              {{"standing", std::string(to_string(now))}});
}

}
