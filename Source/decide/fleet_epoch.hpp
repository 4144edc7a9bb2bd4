#ifndef BLUEBELLSPOKE_DECIDE_FLEET_EPOCH_HPP
#define BLUEBELLSPOKE_DECIDE_FLEET_EPOCH_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <decide/loan.hpp>
#include <decide/standing.hpp>
#include <model/clock.hpp>

namespace bluebellspoke
{

/// A daemon process that gets a share of the fleet-wide limits.
struct fleet_member
{
    std::string m_name;
    std::uint64_t m_incarnation = 0;
    std::string m_address; ///< IP:port on which it listens for peers.

    friend bool operator==(const fleet_member&, const fleet_member&) = default;
};

/// A numbered list of members that differs from the list of the epoch before.
struct fleet_epoch
{
    std::uint64_t m_number = 0; ///< Increases; 0: no epoch exists yet.
    std::vector<fleet_member> m_members;
    std::vector<fleet_member> m_former; ///< Members of the epoch before.
};

/// How long a daemon may fail to answer before it is removed from the members,
/// for daemons that the platform lists and for others.
inline constexpr std::chrono::seconds listed_silence_bound{10};
inline constexpr std::chrono::seconds unlisted_silence_bound{2};
/// After this time, no member that only knows an older epoch has standing or a
/// loan.
inline constexpr duration max_settle_time =
    standing_bound + loan_term + std::chrono::milliseconds(250);

/// What a daemon knows of another daemon or of itself.
struct member_observation
{
    fleet_member m_member;           ///< Incarnation 0: it has never answered.
    bool m_listed = false;           ///< The platform lists it.
    time_point m_last_contact_at{};  ///< When its last answered query was sent.
    std::uint64_t m_known_epoch = 0; ///< Newest epoch known to it.
    std::uint64_t m_applied_epoch = 0; ///< Epoch whose shares it applies.
};

/// Returns the members to propose for the next epoch, or nothing when the
/// current ones need no change.
std::optional<std::vector<fleet_member>>
propose_members(const fleet_epoch& epoch,
                std::span<const member_observation> observations,
                time_point now);

/// Progress of a daemon's wait until the former members have applied an epoch
/// or have lost their standing.
struct epoch_settling
{
    std::uint64_t m_epoch = 0;
    /// When half of the former members were first seen to know the epoch.
    std::optional<time_point> m_half_informed_at;
    bool m_settled = false; ///< The epoch's larger shares may be used.
};

/// Updates the progress from the daemon's current observations.
void update_settling(epoch_settling& s, const fleet_epoch& epoch,
                     std::span<const member_observation> observations,
                     time_point now);

const fleet_member* find_member(std::span<const fleet_member> members,
                                std::string_view name) noexcept;

}

#endif
