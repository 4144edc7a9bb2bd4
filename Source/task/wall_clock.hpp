#ifndef BLUEBELLSPOKE_TASK_WALL_CLOCK_HPP
#define BLUEBELLSPOKE_TASK_WALL_CLOCK_HPP

#include <chrono>

namespace bluebellspoke
{

/// Time since the start of 1970 by this VM's clock, which may be wrong and
/// jump. Only the clock decisions use it.
inline std::chrono::milliseconds wall_now()
{
    return std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

}

#endif
