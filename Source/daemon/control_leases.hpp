#ifndef BLUEBELLSPOKE_DAEMON_CONTROL_LEASES_HPP
#define BLUEBELLSPOKE_DAEMON_CONTROL_LEASES_HPP

#include <map>
#include <optional>
#include <string>

#include <daemon/control_charts.hpp>
#include <daemon/messages.hpp>
#include <decide/group_lease.hpp>

namespace bluebellspoke
{

struct control_state;

/// This daemon's claim on one group.
struct group_claim
{
    lease_state m_state = lease_state::absent;
    lease_wanted m_wanted;       ///< The pool's latest question.
    group_lease_record m_record; ///< What is, or would be, written.
    time_point m_asked_at{};     ///< Before the claim was first sent.
    std::uint64_t m_version = 0; ///< Of the object, as last read or written.
    std::optional<group_lease_observation> m_seen;
};

/// What the control task keeps for leases.
struct lease_keeper
{
    lease_chart m_chart;
    std::map<std::string, group_claim, std::less<>> m_claims;
    std::uint64_t m_next_claim = 1;
    std::size_t m_releasing = 0; ///< Releases without an answer yet.
    bool m_given_up = false;     ///< The pool wants no lease any more.
};

/// Asks the platform for the right to promote; a lease_answer follows.
void want_lease(control_state& c, const lease_wanted& m);
void release_lease(control_state& c, const lease_released& m);
/// Tells the admin task, while draining, that every lease was given up.
void report_if_drained(control_state& c);

}

#endif
