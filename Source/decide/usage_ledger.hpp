#ifndef BLUEBELLSPOKE_DECIDE_USAGE_LEDGER_HPP
#define BLUEBELLSPOKE_DECIDE_USAGE_LEDGER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <decide/site_clock.hpp>
#include <model/usage.hpp>

namespace bluebellspoke
{

/// How long after its end a window is still reported.
inline constexpr std::chrono::seconds usage_retention{30};
/// How long after its end the counts of a window are kept, so that none of them
/// is dropped while the window may be reported.
inline constexpr std::chrono::seconds usage_count_retention{40};
/// How long after its end the counts of a window may change: an endpoint's
/// refusal takes a round trip between regions and a turn of its queue.
inline constexpr std::chrono::seconds usage_settle_time{1};

/// Most incarnations of a source whose counts are kept. A process that restarts
/// each second has fewer within the retention.
inline constexpr std::size_t max_usage_incarnations = 64;

window_id window_at(unix_time time, duration window);
unix_time window_end(window_id id, duration window);
/// Returns the first window that ended less than `retention` ago.
window_id first_kept(unix_time now, duration window, duration retention);

/// Decides what counts as a request: a single statement, or the first statement
/// of a transaction, as the rates do.
bool counts_as_request(bool in_transaction, bool starts_transaction) noexcept;

/// The requests that one process sent.
struct usage_counter
{
    std::map<window_id, usage_counts> m_windows;
    bool m_has_changed = false; ///< Since the last summary.
    std::uint64_t m_version = 0;
};

void add_request(usage_counter& counter, std::string_view workspace,
                 window_id window);
/// Takes back a request that didn't run.
void remove_request(usage_counter& counter, std::string_view workspace,
                    window_id window);
/// Drops old windows, and returns the others as the next summary.
usage_summary summarize(usage_counter& counter, unix_time now, duration window);

/// Returns the windows of a summary from `from` on.
usage_summary summary_from(const usage_summary& summary, window_id from);

/// What one incarnation of a source said last.
struct usage_incarnation
{
    std::uint64_t m_version = 0;
    window_id m_final_before = 0;
    usage_windows m_windows;
};

/// What all incarnations of a source said. A restarted process doesn't know
/// what its predecessor counted.
struct usage_source
{
    std::uint64_t m_current = 0; ///< The incarnation that appeared last.
    std::map<std::uint64_t, usage_incarnation> m_incarnations;
};

/// The windows of all sources, by source.
struct usage_ledger
{
    std::map<std::string, usage_source, std::less<>> m_sources;
};

/// Returns false, and changes nothing, if the summary is no newer than what is
/// known of its incarnation, or the source has had too many incarnations.
bool apply_summary(usage_ledger& ledger, const usage_summary& summary);
void drop_windows_before(usage_ledger& ledger, window_id id);

/// What to ask a source for.
struct usage_question
{
    std::uint64_t m_incarnation = 0; ///< The one that m_from refers to.
    window_id m_from = 0;            ///< The first window that isn't final.
};
usage_question next_question(const usage_ledger& ledger,
                             std::string_view source);

/// How the incarnations of a source belong together.
enum class usage_merge : std::uint8_t
{
    sum,      ///< Each process counted requests of its own.
    greatest, ///< Each leader of a cell counted the same requests.
};

/// One window over all sources.
struct collected_window
{
    usage_counts m_counts;
    std::uint32_t m_heard = 0;   ///< Processes whose counts are final.
    std::uint32_t m_missing = 0; ///< The other expected processes.
};

/// The expected sources, and of how many processes each speaks.
using expected_sources = std::map<std::string, std::uint32_t, std::less<>>;

collected_window collect_window(const usage_ledger& ledger, window_id id,
                                const expected_sources& expected,
                                usage_merge merge);
/// Returns the first window that an expected source may still change.
window_id final_before(const usage_ledger& ledger,
                       const expected_sources& expected);

}

#endif
