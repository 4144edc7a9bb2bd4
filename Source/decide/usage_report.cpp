#include <decide/usage_report.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

window_id first_window(const collected_windows& collected)
{
    const auto counted =
        std::ranges::find_if(collected,
                             [](const auto& entry)
                             {
                                 return !entry.second.m_counts.empty();
                             });
    return counted == collected.end() ? collected.rbegin()->first
                                      : counted->first;
}

}

std::string_view to_string(collection_end end) noexcept
{
    switch (end)
    {
    case collection_end::none:
        return "none";
    case collection_end::answered:
        return "answered";
    case collection_end::deadline:
        return "deadline";
    case collection_end::timed_out:
        break;
    }
    return "timed out";
}

// Load: a holder that is lost shortly before a deadline. A report without the
// counts of a cell is off, one after the deadline is missing, so its successor
// neither sends at once nor collects longer than it needs to.
collection_end end_first_collection(const first_collection& c,
                                    time_point now) noexcept
{
    if (c.m_all_answered)
        return collection_end::answered;
    // Past the deadline, the counts are worth more than the time.
    if (c.m_until_deadline && *c.m_until_deadline > duration::zero() &&
        *c.m_until_deadline <= first_report_margin)
        return collection_end::deadline;
    return now - c.m_held_since >= first_collection_time
               ? collection_end::timed_out
               : collection_end::none;
}

report_choice choose_report(std::optional<window_id> last,
                            const collected_windows& collected, unix_time now,
                            const report_timing& timing)
{
    if (!last && collected.empty())
        return {};
    // A delay beyond the retention leaves no room to report without counts.
    const duration retention =
        std::max<duration>(usage_retention, timing.m_delay);
    const window_id kept = first_kept(now, timing.m_window, retention);
    if (last && *last + 1 < kept)
        return {report_step::skip, kept};
    const window_id next =
        last ? *last + 1 : std::max(first_window(collected), kept);
    const auto window = collected.find(next);
    if (window == collected.end())
        return {};
    const unix_time age = now - window_end(next, timing.m_window);
    const bool is_due = age >= timing.m_delay - incomplete_report_margin;
    if (window->second.m_missing > 0 && !is_due)
        return {};
    return {report_step::report, next};
}

}
