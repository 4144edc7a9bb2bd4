#include <decide/usage_ledger.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace bluebellspoke
{

namespace
{

std::int64_t milliseconds_in(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

const usage_incarnation* current_of(const usage_ledger& ledger,
                                    std::string_view source)
{
    const auto s = ledger.m_sources.find(source);
    return s == ledger.m_sources.end()
               ? nullptr
               : &s->second.m_incarnations.at(s->second.m_current);
}

usage_counts merge_incarnations(const usage_source& source, window_id id,
                                usage_merge merge)
{
    usage_counts merged;
    for (const auto& [incarnation, said] : source.m_incarnations)
    {
        const auto window = said.m_windows.find(id);
        if (window == said.m_windows.end())
            continue;
        for (const auto& [workspace, count] : window->second.m_counts)
        {
            std::uint64_t& total = merged[workspace];
            total = merge == usage_merge::sum ? total + count
                                              : std::max(total, count);
        }
    }
    return merged;
}

// Returns how many of a source's processes haven't said their final count.
std::uint32_t count_missing(const usage_incarnation* said, window_id id,
                            std::uint32_t processes)
{
    if (said == nullptr)
        return processes;
    if (id < said->m_final_before)
        return 0;
    const auto window = said->m_windows.find(id);
    const std::uint32_t missing =
        window == said->m_windows.end() ? 0 : window->second.m_missing;
    return missing == 0 ? processes : std::min(missing, processes);
}

}

window_id window_at(unix_time time, duration window)
{
    return static_cast<window_id>(
        std::max<std::int64_t>(0, time.count() / milliseconds_in(window)));
}

unix_time window_end(window_id id, duration window)
{
    return unix_time(static_cast<std::int64_t>(id + 1) *
                     milliseconds_in(window));
}

window_id first_kept(unix_time now, duration window, duration retention)
{
    return window_at(now - std::chrono::duration_cast<unix_time>(retention),
                     window);
}

bool counts_as_request(bool in_transaction, bool starts_transaction) noexcept
{
    return !in_transaction || starts_transaction;
}

void add_request(usage_counter& counter, std::string_view workspace,
                 window_id window)
{
    ++counter.m_windows[window][std::string(workspace)];
    counter.m_has_changed = true;
}

void remove_request(usage_counter& counter, std::string_view workspace,
                    window_id window)
{
    const auto counts = counter.m_windows.find(window);
    if (counts == counter.m_windows.end())
        return;
    const auto count = counts->second.find(workspace);
    if (count == counts->second.end() || count->second == 0)
        return;
    --count->second;
    counter.m_has_changed = true;
}

usage_summary summarize(usage_counter& counter, unix_time now, duration window)
{
    const window_id first = first_kept(now, window, usage_count_retention);
    std::erase_if(counter.m_windows,
                  [first](const auto& entry)
                  {
                      return entry.first < first;
                  });
    counter.m_has_changed = false;
    usage_summary summary;
    summary.m_version = ++counter.m_version;
    summary.m_final_before = first_kept(now, window, usage_settle_time);
    for (const auto& [id, counts] : counter.m_windows)
        summary.m_windows[id].m_counts = counts;
    return summary;
}

usage_summary summary_from(const usage_summary& summary, window_id from)
{
    usage_summary part = summary;
    part.m_windows.erase(part.m_windows.begin(),
                         part.m_windows.lower_bound(from));
    return part;
}

bool apply_summary(usage_ledger& ledger, const usage_summary& summary)
{
    usage_source& source = ledger.m_sources[summary.m_source];
    if (source.m_incarnations.size() >= max_usage_incarnations &&
        !source.m_incarnations.contains(summary.m_incarnation))
        return false;
    const auto [entry, is_new] =
        source.m_incarnations.try_emplace(summary.m_incarnation);
    if (is_new)
        source.m_current = summary.m_incarnation;
    usage_incarnation& said = entry->second;
    if (!is_new && summary.m_version <= said.m_version)
        return false;
    // First, as a window that isn't recorded must not count as final.
    for (const auto& [id, window] : summary.m_windows)
        said.m_windows.insert_or_assign(id, window);
    said.m_version = summary.m_version;
    said.m_final_before = summary.m_final_before;
    return true;
}

void drop_windows_before(usage_ledger& ledger, window_id id)
{
    for (auto& [name, source] : ledger.m_sources)
    {
        for (auto& [incarnation, said] : source.m_incarnations)
            said.m_windows.erase(said.m_windows.begin(),
                                 said.m_windows.lower_bound(id));
        const std::uint64_t current = source.m_current;
        std::erase_if(source.m_incarnations,
                      [current](const auto& entry)
                      {
                          return entry.first != current &&
                                 entry.second.m_windows.empty();
                      });
    }
}

usage_question next_question(const usage_ledger& ledger,
                             std::string_view source)
{
    const usage_incarnation* const said = current_of(ledger, source);
    if (said == nullptr)
        return {};
    return {ledger.m_sources.find(source)->second.m_current,
            said->m_final_before};
}

collected_window collect_window(const usage_ledger& ledger, window_id id,
                                const expected_sources& expected,
                                usage_merge merge)
{
    collected_window collected;
    for (const auto& [name, source] : ledger.m_sources)
        for (const auto& [workspace, count] :
             merge_incarnations(source, id, merge))
            if (count > 0)
                collected.m_counts[workspace] += count;
    for (const auto& [name, processes] : expected)
    {
        const std::uint32_t missing =
            count_missing(current_of(ledger, name), id, processes);
        collected.m_missing += missing;
        collected.m_heard += processes - missing;
    }
    return collected;
}

window_id final_before(const usage_ledger& ledger,
                       const expected_sources& expected)
{
    window_id first = std::numeric_limits<window_id>::max();
    for (const auto& [name, processes] : expected)
    {
        const usage_incarnation* const said = current_of(ledger, name);
        first = std::min(first, said == nullptr ? 0 : said->m_final_before);
    }
    return expected.empty() ? 0 : first;
}

}
