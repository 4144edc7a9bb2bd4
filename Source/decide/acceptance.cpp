#include <decide/acceptance.hpp>

#include <algorithm>
#include <cstddef>

#include <decide/standing.hpp>

namespace bluebellspoke
{

namespace
{

std::size_t count_in_force(const acceptance_view& view)
{
    return static_cast<std::size_t>(
        std::count_if(view.m_members.begin(), view.m_members.end(),
                      [&](const member_report& m)
                      {
                          return has_in_force(m, view.m_version);
                      }));
}

// It has standing, since it knows of nothing newer, and goes by older settings.
bool any_refuses(const acceptance_view& view)
{
    return std::any_of(view.m_members.begin(), view.m_members.end(),
                       [&](const member_report& m)
                       {
                           return m.m_answered && m.m_refuses &&
                                  m.m_known >= view.m_version;
                       });
}

// A daemon that knows the version goes by it any moment; until then it may
// serve by the one before.
bool any_about_to(const acceptance_view& view)
{
    return std::any_of(view.m_members.begin(), view.m_members.end(),
                       [&](const member_report& m)
                       {
                           return m.m_answered && m.m_known >= view.m_version &&
                                  m.m_in_force < view.m_version;
                       });
}

}

bool has_in_force(const member_report& report, std::uint64_t version) noexcept
{
    return report.m_answered && !report.m_refuses &&
           report.m_in_force >= version;
}

// Standing counts both as well: a list that omits members would make the one
// majority too small.
bool has_majority(const acceptance_view& view) noexcept
{
    std::size_t named = 0;
    std::size_t named_in_force = 0;
    for (const member_report& m : view.m_members)
    {
        if (!m.m_in_epoch)
            continue;
        ++named;
        named_in_force += has_in_force(m, view.m_version) ? 1 : 0;
    }
    return count_in_force(view) > view.m_members.size() / 2 &&
           (named == 0 || named_in_force > named / 2);
}

// Once a majority has it, nobody without it is witnessed any more, after the
// bound of the answers given before; and nobody without it was confirmed after
// the edit.
acceptance judge_acceptance(const acceptance_view& view) noexcept
{
    if (any_refuses(view))
        return acceptance::refused;
    if (count_in_force(view) == view.m_members.size())
        return acceptance::accepted;
    const bool lapsed =
        view.m_since_majority && *view.m_since_majority > standing_bound;
    if (has_majority(view) && lapsed && !any_about_to(view))
        return acceptance::accepted;
    return acceptance::spreading;
}

}
