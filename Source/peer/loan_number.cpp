#include <peer/loan_number.hpp>

#include <random>

namespace bluebellspoke
{

// A lender's numbers never come again after a restart, so that a loan of the
// process before is not taken for one of this.
std::uint64_t random_loan_number()
{
    std::random_device source;
    return std::uniform_int_distribution<std::uint64_t>(1, 1ULL << 62U)(source);
}

}
