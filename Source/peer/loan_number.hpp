#ifndef BLUEBELLSPOKE_PEER_LOAN_NUMBER_HPP
#define BLUEBELLSPOKE_PEER_LOAN_NUMBER_HPP

#include <cstdint>

namespace bluebellspoke
{

/// Returns a random id for a lender's first loan, so that ids differ after a
/// restart.
std::uint64_t random_loan_number();

}

#endif
