#include <decide/standing.hpp>

#include <algorithm>
#include <functional>
#include <vector>

namespace bluebellspoke
{

namespace
{

// A change is accepted only when a majority knows it. If a majority of daemons
// knows nothing newer and can't reach the platform, then nothing newer has been
// accepted.
std::size_t count_witnesses(const standing_view& view, time_point now)
{
    const auto peers =
        std::count_if(view.m_peers.begin(), view.m_peers.end(),
                      [&](const peer_report& w)
                      {
                          return now - w.m_asked_at <= standing_bound &&
                                 !w.m_platform_answers &&
                                 w.m_version <= view.m_version;
                      });
    return static_cast<std::size_t>(peers) + (view.m_is_member ? 1 : 0);
}

}

time_point confirmed_at(const standing_view& view) noexcept
{
    time_point latest = view.m_platform_confirmed_at;
    for (const peer_report& w : view.m_peers)
        if (w.m_version <= view.m_version)
            latest = std::max(latest, w.m_asked_at - w.m_confirmed_age);
    return latest;
}

time_point standing_until(const standing_view& view)
{
    const time_point confirmed = confirmed_at(view) + standing_bound;
    if (view.m_platform_answers)
        return confirmed;
    const std::size_t needed =
        view.m_member_count / 2 + (view.m_is_member ? 0 : 1);
    if (needed == 0)
        return time_point::max();
    // The majority lasts until the oldest of the `needed` newest reports
    // expires.
    std::vector<time_point> asked;
    for (const peer_report& w : view.m_peers)
        if (!w.m_platform_answers && w.m_version <= view.m_version)
            asked.push_back(w.m_asked_at);
    if (asked.size() < needed)
        return confirmed;
    std::sort(asked.begin(), asked.end(), std::greater<>());
    return std::max(confirmed, asked[needed - 1] + standing_bound);
}

// One confirmation suffices, whichever list the confirming peer is in; only
// witnesses need a majority.
time_point standing_until(std::span<const standing_view> views)
{
    time_point confirmed = time_point::min();
    time_point witnessed = time_point::max();
    for (const standing_view& view : views)
    {
        confirmed = std::max(confirmed, confirmed_at(view) + standing_bound);
        witnessed = std::min(witnessed, standing_until(view));
    }
    return std::max(confirmed, witnessed);
}

standing evaluate_standing(std::span<const standing_view> views, time_point now)
{
    standing weakest = standing::witnessed;
    for (const standing_view& view : views)
    {
        const standing s = evaluate_standing(view, now);
        if (s == standing::confirmed)
            return s;
        if (s == standing::lapsed)
            weakest = s;
    }
    return views.empty() ? standing::lapsed : weakest;
}

std::string_view to_string(standing s) noexcept
{
    switch (s)
    {
    case standing::confirmed:
        return "confirmed";
    case standing::witnessed:
        return "witnessed";
    case standing::lapsed:
        return "lapsed";
    }
    return "lapsed";
}

standing evaluate_standing(const standing_view& view, time_point now) noexcept
{
    if (now - confirmed_at(view) <= standing_bound)
        return standing::confirmed;
    const bool majority = count_witnesses(view, now) > view.m_member_count / 2;
    if (!view.m_platform_answers && majority)
        return standing::witnessed;
    return standing::lapsed;
}

}
