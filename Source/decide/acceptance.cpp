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

// A daemon that rejected the edit knows of nothing newer than the edit, so it
// has standing and serves with older settings.
bool any_refuses(const acceptance_view& view)
{
    return std::any_of(view.m_members.begin(), view.m_members.end(),
                       [&](const member_report& m)
                       {
                           return m.m_answered && m.m_refuses &&
                                  m.m_known >= view.m_version;
                       });
}

// A daemon that knows the version will apply it soon; until then it may serve
// with the previous one.
bool any_pending(const acceptance_view& view)
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

// Standing requires both majorities as well: if the list of VMs omits members,
// a majority of that list may be a minority of the fleet.
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

// A daemon without the edit was last confirmed before the edit. Once a majority
// applies it, such a daemon finds too few new witnesses, and the answers that
// it got before expire after standing_bound. It then has no standing.
acceptance evaluate_acceptance(const acceptance_view& view) noexcept
{
    if (any_refuses(view))
        return acceptance::refused;
    if (count_in_force(view) == view.m_members.size())
        return acceptance::accepted;
    const bool expired =
        view.m_majority_age && *view.m_majority_age > standing_bound;
    if (has_majority(view) && expired && !any_pending(view))
        return acceptance::accepted;
    return acceptance::propagating;
}

}
