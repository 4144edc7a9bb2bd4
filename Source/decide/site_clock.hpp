#ifndef BLUEBELLSPOKE_DECIDE_SITE_CLOCK_HPP
#define BLUEBELLSPOKE_DECIDE_SITE_CLOCK_HPP

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Time since the start of 1970, by a wall clock or true.
using unix_time = std::chrono::milliseconds;
/// What has to be added to the monotonic clock to get a time since 1970.
using clock_offset = std::chrono::milliseconds;

/// How long what a process said of its wall clock is used: three of the digests
/// that fleets without cells exchange once a second.
inline constexpr std::chrono::seconds clock_sample_lifetime{3};

/// The wall clock of one process, when it was received.
struct clock_sample
{
    clock_offset m_offset{};
    time_point m_taken_at{};
};

/// What a process takes for true time. The VMs' wall clocks differ and may
/// jump; the monotonic clock doesn't.
struct site_clock
{
    clock_offset m_offset{}; ///< At the start that of the own wall clock.
    std::map<std::string, clock_sample, std::less<>>
        m_samples; ///< By process, including this one.
};

clock_offset offset_of(unix_time time, time_point now) noexcept;
unix_time time_at(clock_offset offset, time_point now) noexcept;

/// Records the wall clock time that a process sent.
void record_wall_time(site_clock& clock, std::string_view process,
                      unix_time wall, time_point now);

/// Takes the median of the samples for true time, unless fewer than `needed`
/// processes gave one lately: the median of a few follows a clock that jumped.
/// Of the two in the middle the one nearer to the present offset is taken.
void follow_median(site_clock& clock, std::size_t needed, time_point now);

/// Takes the true time that the cell leader sent.
void follow_leader(site_clock& clock, unix_time time, time_point now);

}

#endif
