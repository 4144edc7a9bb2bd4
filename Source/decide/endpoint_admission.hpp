#ifndef BLUEBELLSPOKE_DECIDE_ENDPOINT_ADMISSION_HPP
#define BLUEBELLSPOKE_DECIDE_ENDPOINT_ADMISSION_HPP

#include <chrono>
#include <cstdint>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Time over which an endpoint that has become available again is ramped up to
/// all of its slots.
inline constexpr std::chrono::seconds ramp_up_time{10};

/// Conditions that decide whether an endpoint receives new work.
struct endpoint_availability
{
    bool m_reachable = false;
    bool m_leaving = false; ///< Being removed from service by its settings.
    bool m_zone_evacuated = false; ///< Its availability zone is evacuated.
};

/// True when the endpoint is reachable and neither it nor its zone is being
/// taken out of service.
bool admits_work(const endpoint_availability& availability) noexcept;

/// Usable slots of an endpoint that became available again `elapsed` ago: grows
/// linearly from one to `slots`.
std::uint32_t ramp_up_slots(std::uint32_t slots, duration elapsed) noexcept;

}

#endif
