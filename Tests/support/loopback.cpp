#include <support/loopback.hpp>

#include <atomic>
#include <csignal>
#include <unistd.h>

namespace bluebellspoke::support
{

namespace
{

// Process ids stay below 2^22, so the lower three parts of an address in
// 127.0.0.0/8 hold one; 127.0.0.1 and its neighbours are left to others.
constexpr unsigned first_part = 127;
constexpr unsigned lowest_second_part = 64;

// Below the range from which the kernel picks ports for callers.
constexpr std::uint16_t first_port = 10'000;

}

// The processes that tests talk to are killed; writing to one must be an error
// and not the end of the test.
const std::string& test_host()
{
    static const auto before = std::signal(SIGPIPE, SIG_IGN);
    static_cast<void>(before);
    static const std::string host = []
    {
        const auto id = static_cast<unsigned>(getpid());
        std::string text = std::to_string(first_part);
        text.append(".").append(
            std::to_string(lowest_second_part + (id >> 16U)));
        text.append(".").append(std::to_string(id >> 8U & 0xffU));
        return text.append(".").append(std::to_string(id & 0xffU));
    }();
    return host;
}

address free_address()
{
    static std::atomic<std::uint16_t> next{first_port};
    return {test_host(), next++};
}

}
