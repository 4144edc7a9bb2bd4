#ifndef BLUEBELLSPOKE_PEER_LOAN_NUMBER_HPP
#define BLUEBELLSPOKE_PEER_LOAN_NUMBER_HPP

#include <cstdint>

namespace bluebellspoke
{

/// The number of a lender's first loan; differs after a restart.
std::uint64_t random_loan_number();

}

#endif
