#include <peer/loan_id.hpp>

#include <random>

namespace bluebellspoke
{

// A random start makes reuse of a loan id after a restart unlikely, so that a
// loan of the previous process isn't mistaken for one of this process.
std::uint64_t random_loan_id()
{
    std::random_device source;
    return std::uniform_int_distribution<std::uint64_t>(1, 1ULL << 62U)(source);
}

}
