#ifndef BLUEBELLSPOKE_MODEL_LOG_POSITION_HPP
#define BLUEBELLSPOKE_MODEL_LOG_POSITION_HPP

#include <compare>
#include <cstdint>

namespace bluebellspoke
{

/// The term of a database group, which increases with every promotion; 0 means
/// that the group has had no primary yet.
using term_number = std::uint64_t;

/// A position in a group's log, ordered by term and then by offset.
///
/// The term goes first because a promotion selects a log that holds every write
/// acknowledged in earlier terms. A replaced primary may have assigned higher
/// offsets to entries that were never acknowledged.
struct log_position
{
    term_number m_term = 0;
    std::uint64_t m_offset = 0;

    friend auto operator<=>(const log_position&, const log_position&) = default;
};

}

#endif
