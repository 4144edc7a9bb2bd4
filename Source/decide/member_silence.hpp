#ifndef BLUEBELLSPOKE_DECIDE_MEMBER_SILENCE_HPP
#define BLUEBELLSPOKE_DECIDE_MEMBER_SILENCE_HPP

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Returns true if a member has been silent for member_removal_timeout and its
/// VM counts as gone. Silence is counted from `expected_since` at the earliest:
/// when this process began to exchange messages with the member. A cell leader
/// that has just been elected has heard from nobody but its voters, in a fleet
/// of any size. Answers the load of a hand-over: each member that is removed
/// although it lives registers again, which every process of the fleet reads,
/// and hears from no cell leader meanwhile.
bool counts_as_gone(time_point last_contact_at, time_point expected_since,
                    time_point now) noexcept;

}

#endif
