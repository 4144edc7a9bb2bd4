#ifndef BLUEBELLSPOKE_DECIDE_MEMBER_RELAY_HPP
#define BLUEBELLSPOKE_DECIDE_MEMBER_RELAY_HPP

#include <cstdint>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// What a process knows of how its cell leader relays the list of members.
///
/// Answers the load of fleet size x changes: each registration and each removal
/// would end a watch of every process.
struct member_relay
{
    /// When the leader last had no newer list than this process, or a change
    /// that it relayed was applied here.
    time_point m_current_at{};
};

/// Records a claim of a cell leader that reaches the store. `claimed` is the
/// revision of the newest change of the members that it knows; 0: it is of a
/// build that doesn't relay them. `known` is the revision up to which this
/// process knows them.
void record_claim(member_relay& r, std::uint64_t claimed, std::uint64_t known,
                  time_point now) noexcept;
/// Records that a change relayed by the leader was applied.
void record_change(member_relay& r, time_point now) noexcept;
/// Returns true while this process may leave watching the members to its
/// leader. One that isn't in its own list may not: it has to register, and the
/// leader sends its claims only to members.
bool is_relaying_members(const member_relay& r, bool is_listed,
                         time_point now) noexcept;

/// How current the list is that a process would count votes by.
struct member_list_state
{
    bool m_is_relayed = false; ///< The cell leader's changes were followed.
    bool m_is_reading = false; ///< The complete list was asked for.
    bool m_has_store = false;  ///< The last call for it was answered.
};

/// Returns true if a candidate may count the votes of the members that it
/// knows. One that has lost its leader reads the list first, so that it counts
/// by no older list than if it had watched the store all along. If the store
/// doesn't answer, it counts by the list that it has.
bool may_count_votes(const member_list_state& s) noexcept;

}

#endif
