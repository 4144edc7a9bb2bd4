#include <task/boot_clock.hpp>

#include <ctime>

namespace bluebellspoke
{

time_point boot_now() noexcept
{
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return time_point(std::chrono::seconds(t.tv_sec) +
                      std::chrono::nanoseconds(t.tv_nsec));
}

}
