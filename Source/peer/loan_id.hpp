#ifndef BLUEBELLSPOKE_PEER_LOAN_ID_HPP
#define BLUEBELLSPOKE_PEER_LOAN_ID_HPP

#include <cstdint>

namespace bluebellspoke
{

/// Returns a random id for a lender's first loan, so that ids differ after a
/// restart.
std::uint64_t random_loan_id();

}

#endif
