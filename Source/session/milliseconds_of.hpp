#ifndef BLUEBELLSPOKE_SESSION_MILLISECONDS_OF_HPP
#define BLUEBELLSPOKE_SESSION_MILLISECONDS_OF_HPP

#include <chrono>
#include <string>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Returns a duration in whole milliseconds, for a field of an event.
inline std::string milliseconds_of(duration d)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

}

#endif
