#ifndef BLUEBELLSPOKE_MODEL_LOG_POSITION_HPP
#define BLUEBELLSPOKE_MODEL_LOG_POSITION_HPP

#include <compare>
#include <cstdint>

namespace bluebellspoke
{

/// The number of a primary's reign over one database group; 0 is none yet.
using term_number = std::uint64_t;

/// A place in a group's log: the term of the entry first, then its offset.
///
/// The order is lexicographic. A log whose last entry has a later term was
/// chosen by a promotion, so it holds every write acknowledged in the terms
/// before, whatever offsets a replaced primary had given out.
struct log_position
{
    term_number m_term = 0;
    std::uint64_t m_offset = 0;

    friend auto operator<=>(const log_position&, const log_position&) = default;
};

}

#endif
