#include <decide/endpoint_admission.hpp>

#include <algorithm>

namespace bluebellspoke
{

bool admits_work(const endpoint_availability& availability) noexcept
{
    return availability.m_reachable && !availability.m_leaving &&
           !availability.m_zone_evacuated;
}

std::uint32_t ramp_up_slots(std::uint32_t slots, duration elapsed) noexcept
{
    const double fraction = std::chrono::duration<double>(elapsed) /
                            std::chrono::duration<double>(ramp_up_time);
    const double usable_slots = slots * std::clamp(fraction, 0.0, 1.0);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(usable_slots));
}

}
