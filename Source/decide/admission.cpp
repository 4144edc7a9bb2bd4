#include <decide/admission.hpp>

#include <algorithm>

namespace bluebellspoke
{

bool admits_work(const endpoint_facts& facts) noexcept
{
    return facts.m_reachable && !facts.m_leaving && !facts.m_zone_out;
}

std::uint32_t returning_slots(std::uint32_t slots, duration since) noexcept
{
    const double share = std::chrono::duration<double>(since) /
                         std::chrono::duration<double>(return_time);
    const double slots_now = slots * std::clamp(share, 0.0, 1.0);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(slots_now));
}

}
