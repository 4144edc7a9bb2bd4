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

/// How long a daemon may hold the right to promote without asking again.
inline constexpr std::chrono::milliseconds lease_length{2000};

/// The platform's object `groups/SERVICE`: who may promote in the group.
struct lease_record
{
    std::string m_holder;      ///< Name and incarnation; empty: released.
    std::uint64_t m_claim = 0; ///< Tells one holder's claims apart.
    std::uint64_t m_length_ms = 0;

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// A record as this process first saw it.
struct lease_sighting
{
    std::uint64_t m_version = 0; ///< 0: the object doesn't exist.
    lease_record m_record;
    time_point m_first_seen_at{};
};

enum class lease_step : std::uint8_t
{
    take, ///< Free or lapsed: write, if the version is still this one.
    wait, ///< Another daemon holds it.
    held, ///< This very claim is in force.
};

/// What to do about the object as it was read. `claim` is the one that this
/// daemon means to write, or wrote without hearing what became of it.
lease_step judge_lease(const lease_sighting& seen, const lease_record& claim,
                       time_point now);

/// Keeps the older sighting's time when the object hasn't changed since.
lease_sighting note_lease(const std::optional<lease_sighting>& before,
                          std::uint64_t version, lease_record record,
                          time_point now);

/// The end of a lease that was asked for at `asked_at`.
time_point lease_end(time_point asked_at) noexcept;

}

#endif
