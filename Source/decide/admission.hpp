#ifndef BLUEBELLSPOKE_DECIDE_ADMISSION_HPP
#define BLUEBELLSPOKE_DECIDE_ADMISSION_HPP

#include <chrono>
#include <cstdint>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// How long a place that returns takes to get its whole share of work.
inline constexpr std::chrono::seconds return_time{10};

/// What decides whether an endpoint takes new work.
struct endpoint_facts
{
    bool m_reachable = false;
    bool m_leaving = false;
    bool m_zone_out = false;
};

bool admits_work(const endpoint_facts& facts) noexcept;

/// Slots of an endpoint that has been back for `since`; at least one.
std::uint32_t returning_slots(std::uint32_t slots, duration since) noexcept;

}

#endif
