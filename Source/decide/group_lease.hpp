#ifndef BLUEBELLSPOKE_DECIDE_GROUP_LEASE_HPP
#define BLUEBELLSPOKE_DECIDE_GROUP_LEASE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// How long a daemon may promote endpoints of a group without a renewal.
inline constexpr std::chrono::milliseconds group_lease_duration{2000};

/// The platform object `groups/SERVICE`, which records the daemon that may
/// promote endpoints of the group.
struct group_lease_record
{
    std::string m_holder;         ///< Name and incarnation; empty: released.
    std::uint64_t m_claim_id = 0; ///< Distinguishes claims of one holder.
    std::uint64_t m_length_ms = 0;

    friend bool operator==(const group_lease_record&,
                           const group_lease_record&) = default;
};

/// A version of the record and when this process first observed it.
struct group_lease_observation
{
    std::uint64_t m_version = 0; ///< 0: the object doesn't exist.
    group_lease_record m_record;
    time_point m_first_seen_at{};
};

enum class group_lease_status : std::uint8_t
{
    available, ///< Free, expired or an older claim of this daemon: write it on
               ///< condition that the version is unchanged.
    held_by_other, ///< Another daemon holds it.
    held_by_claim, ///< The claim itself is in force.
};

/// Determines the status of the lease from the object as it was read. `claim`
/// is the record that this daemon intends to write, or has written without
/// receiving the result.
group_lease_status evaluate_group_lease(const group_lease_observation& seen,
                                        const group_lease_record& claim,
                                        time_point now);

/// Returns the new observation, or `before` when the version is unchanged, so
/// that the time of the first observation is kept.
group_lease_observation
observe_group_lease(const std::optional<group_lease_observation>& before,
                    std::uint64_t version, group_lease_record record,
                    time_point now);

/// Returns the end of a lease that was requested at `requested_at`.
time_point group_lease_expiry(time_point requested_at) noexcept;

}

#endif
