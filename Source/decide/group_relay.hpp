#ifndef BLUEBELLSPOKE_DECIDE_GROUP_RELAY_HPP
#define BLUEBELLSPOKE_DECIDE_GROUP_RELAY_HPP

#include <chrono>

#include <decide/group_view.hpp>
#include <model/relayed_group.hpp>

namespace bluebellspoke
{

/// Least interval between a process's requests for groups.
inline constexpr std::chrono::milliseconds relay_interval{250};
/// A process asks for a group that it has used within relayed_use_time, once
/// its lease ends within relayed_lease_request_margin: two more requests fit in
/// if the first is lost.
inline constexpr std::chrono::milliseconds relayed_lease_request_margin{700};
inline constexpr std::chrono::seconds relayed_use_time{2};
/// A cell leader asks the leaders of other cells for a group whose lease ends
/// within this: it has tried to renew the lease for 400 ms, so it may be cut
/// off from the primary, and they may not be.
inline constexpr std::chrono::milliseconds unrenewed_lease_margin{500};
/// How long a process waits for the answer before it asks again.
inline constexpr std::chrono::milliseconds relay_answer_timeout{300};
/// A lease that is passed on is renewed when less than this remains: the others
/// may miss two answers in a row.
inline constexpr std::chrono::milliseconds relayed_lease_renewal_margin{900};
/// Interval between requests while statements wait for a group's lease.
inline constexpr std::chrono::milliseconds urgent_relay_interval{50};
/// How long a cell leader keeps a group current after its last statement or
/// request: pauses between statements are shorter, so that few of them wait for
/// a first status.
inline constexpr std::chrono::seconds group_use_time{8};
/// How long statements wait without a lease before a process that hears of the
/// group from others asks the endpoints itself.
inline constexpr std::chrono::milliseconds own_request_delay{150};

/// Returns true if a process that used the group last at `used_at` should ask
/// another one for it, once its lease ends within `margin`. What a process asks
/// for follows its own statements, not the number of groups.
bool needs_relay(const group_view& g, time_point used_at, time_point now,
                 duration margin = relayed_lease_request_margin);
/// Returns what this process knows of the group at `now`; the caller adds the
/// endpoints.
relayed_group make_relayed_group(const group_view& g, time_point now);
/// Applies what another process knew, in its answer to a request that was sent
/// at `requested_at`. Returns true when the primary changed.
bool adopt_relayed_group(group_view& g, const relayed_group& m,
                         time_point requested_at);

}

#endif
