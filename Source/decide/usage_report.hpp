#ifndef BLUEBELLSPOKE_DECIDE_USAGE_REPORT_HPP
#define BLUEBELLSPOKE_DECIDE_USAGE_REPORT_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include <decide/usage_ledger.hpp>

namespace bluebellspoke
{

/// How long before its deadline a window is reported although counts are
/// missing: a write to a slow store and one repeated call.
inline constexpr std::chrono::seconds incomplete_report_margin{2};

/// How long a process that got the duty collects counts before it reports,
/// while some that it asked for them haven't answered.
inline constexpr std::chrono::milliseconds first_collection_time{1000};
/// How long before a deadline it no longer collects: a write to the store, and
/// the call, each with an answer from another region.
inline constexpr std::chrono::milliseconds first_report_margin{300};

/// A report as it is stored before it is sent.
struct usage_report
{
    window_id m_window = 0;
    usage_counts m_counts; ///< Not kept once it is accepted.
    bool m_is_accepted = false;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// The windows that have ended and may still be reported.
using collected_windows = std::map<window_id, collected_window>;

struct report_timing
{
    duration m_window{};
    duration m_delay{}; ///< From the window's end to its deadline.
};

enum class report_step : std::uint8_t
{
    wait,
    skip, ///< The windows before m_window: nobody has their counts any more.
    report,
};

struct report_choice
{
    report_step m_step = report_step::wait;
    window_id m_window = 0;
};

/// What a process that got the duty has collected so far.
struct first_collection
{
    time_point m_held_since{};
    bool m_all_answered = false; ///< Each cell and member that it asked.
    /// Until the deadline of the next window to report, if one is known.
    std::optional<duration> m_until_deadline;
};

/// Why the first collection of a holder ends.
enum class collection_end : std::uint8_t
{
    none,      ///< It doesn't.
    answered,  ///< Everybody has answered.
    deadline,  ///< A window is due.
    timed_out, ///< After first_collection_time.
};

std::string_view to_string(collection_end end) noexcept;

/// Decides whether a holder passes on what it has collected first.
collection_end end_first_collection(const first_collection& c,
                                    time_point now) noexcept;

/// Decides what to do after the report on window `last`; without one, reports
/// begin with the first window that has counts, or else the last that ended.
report_choice choose_report(std::optional<window_id> last,
                            const collected_windows& collected, unix_time now,
                            const report_timing& timing);

}

#endif
