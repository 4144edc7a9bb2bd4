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
inline constexpr std::chrono::milliseconds lease_length{2000};

/// The platform object `groups/SERVICE`, which records the daemon that may
/// promote endpoints of the group.
struct lease_record
{
    std::string m_holder;      ///< Name and incarnation; empty: released.
    std::uint64_t m_claim = 0; ///< Distinguishes claims of one holder.
    std::uint64_t m_length_ms = 0;

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// A version of the record and when this process first observed it.
struct lease_sighting
{
    std::uint64_t m_version = 0; ///< 0: the object doesn't exist.
    lease_record m_record;
    time_point m_first_seen_at{};
};

enum class lease_step : std::uint8_t
{
    take, ///< Free, expired or an older claim of this daemon: write it on
          ///< condition that the version is unchanged.
    wait, ///< Another daemon holds it.
    held, ///< The claim itself is in force.
};

/// Determines the status of the lease from the object as it was read. `claim`
/// is the record that this daemon intends to write, or has written without
/// receiving the result.
lease_step judge_lease(const lease_sighting& seen, const lease_record& claim,
                       time_point now);

/// Returns the new observation, or `before` when the version is unchanged, so
/// that the time of the first observation is kept.
lease_sighting note_lease(const std::optional<lease_sighting>& before,
                          std::uint64_t version, lease_record record,
                          time_point now);

/// Returns the end of a lease that was requested at `requested_at`.
time_point lease_end(time_point requested_at) noexcept;

}

#endif
