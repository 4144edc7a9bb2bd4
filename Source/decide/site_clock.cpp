#include <decide/site_clock.hpp>

#include <algorithm>
#include <vector>

namespace bluebellspoke
{

clock_offset offset_of(unix_time time, time_point now) noexcept
{
    return time - std::chrono::floor<std::chrono::milliseconds>(
                      now.time_since_epoch());
}

unix_time time_at(clock_offset offset, time_point now) noexcept
{
    return offset + std::chrono::floor<std::chrono::milliseconds>(
                        now.time_since_epoch());
}

void record_wall_time(site_clock& clock, std::string_view process,
                      unix_time wall, time_point now)
{
    clock.m_samples.insert_or_assign(std::string(process),
                                     clock_sample{offset_of(wall, now), now});
}

void follow_median(site_clock& clock, std::size_t needed, time_point now)
{
    std::erase_if(clock.m_samples,
                  [now](const auto& entry)
                  {
                      return now - entry.second.m_taken_at >
                             clock_sample_lifetime;
                  });
    if (clock.m_samples.empty() || clock.m_samples.size() < needed)
        return;
    std::vector<clock_offset> offsets;
    for (const auto& [process, sample] : clock.m_samples)
        offsets.push_back(sample.m_offset);
    std::ranges::sort(offsets);
    const clock_offset upper = offsets[offsets.size() / 2];
    const clock_offset lower = offsets[(offsets.size() - 1) / 2];
    const bool lower_is_nearer = std::chrono::abs(lower - clock.m_offset) <=
                                 std::chrono::abs(upper - clock.m_offset);
    clock.m_offset = lower_is_nearer ? lower : upper;
}

void follow_leader(site_clock& clock, unix_time time, time_point now)
{
    clock.m_offset = offset_of(time, now);
}

}
