#ifndef BLUEBELLSPOKE_DECIDE_RESTART_CHECK_HPP
#define BLUEBELLSPOKE_DECIDE_RESTART_CHECK_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// How long a round of the check waits for statements: several round trips
/// within a zone, and a late timer.
inline constexpr std::chrono::milliseconds restart_round_timeout{250};

/// What a process of a zone says of its own start.
struct restart_statement
{
    std::uint64_t m_incarnation = 0;
    bool m_is_unused = false;  ///< It has requested no vote since its start.
    bool m_was_member = false; ///< Its VM was a member before its start.
};

/// Checks that no process of a zone holds a vote that was given by the earlier
/// process of a VM that has restarted. Then nobody has to wait for such votes
/// to lapse (vote_hold_time); docs/design/cold-start.md has the proof.
struct restart_check
{
    std::set<std::string, std::less<>> m_members; ///< Of the zone.
    std::uint64_t m_attempt = 0;
    time_point m_asked_at{}; ///< Start of the current round.
    /// What was said in the first and in the current round, by member.
    std::map<std::string, std::uint64_t, std::less<>> m_first;
    std::map<std::string, std::uint64_t, std::less<>> m_current;
};

/// What a statement means for the check.
enum class restart_finding : std::uint8_t
{
    incomplete, ///< Others have to say something yet.
    complete,   ///< All members have said that they hold no vote.
    refuted,    ///< A member may hold a vote: the check can't succeed any more.
};

/// Begins a first round among `members`.
void begin_first_round(restart_check& c,
                       const std::set<std::string, std::less<>>& members,
                       time_point now);
/// Begins the second round. It confirms the first one, because all processes
/// that made a statement then had started before.
void begin_second_round(restart_check& c, time_point now);
/// Records what a member said in the current round.
restart_finding record_statement(restart_check& c, std::string_view member,
                                 const restart_statement& s);
/// Returns the incarnation in which the member made its statements, if the
/// check has passed; otherwise 0.
std::uint64_t confirmed_incarnation(const restart_check& c,
                                    std::string_view member) noexcept;

}

#endif
