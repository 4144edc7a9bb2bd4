#ifndef BLUEBELLSPOKE_TASK_BOOT_CLOCK_HPP
#define BLUEBELLSPOKE_TASK_BOOT_CLOCK_HPP

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Time since the machine's start, including what it spent suspended. Leases
/// go by it: other machines' clocks went on meanwhile.
time_point boot_now() noexcept;

}

#endif
