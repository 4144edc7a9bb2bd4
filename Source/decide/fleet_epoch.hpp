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

/// One process that fleet-wide limits are divided among.
struct fleet_member
{
    std::string m_name;
    std::uint64_t m_incarnation = 0;
    std::string m_address; ///< IP:port that it listens at for peers.

    friend bool operator==(const fleet_member&, const fleet_member&) = default;
};

/// A numbered list of members; each differs from the one before it.
struct fleet_epoch
{
    std::uint64_t m_number = 0; ///< Grows; 0: there is none yet.
    std::vector<fleet_member> m_members;
    std::vector<fleet_member> m_former; ///< Of the epoch before.
};

/// How long a daemon that is in the platform's list may be silent before it is
/// taken out of the members, and how long one that isn't.
inline constexpr std::chrono::seconds listed_silence_bound{10};
inline constexpr std::chrono::seconds unlisted_silence_bound{2};
/// After it, no member that followed an older epoch has standing or a loan.
inline constexpr duration settle_wait =
    standing_bound + loan_term + std::chrono::milliseconds(250);

/// A daemon as another one sees it, itself included.
struct member_sight
{
    fleet_member m_member;       ///< Incarnation 0: never heard.
    bool m_listed = false;       ///< By the platform.
    time_point m_heard_at{};     ///< Asked then, and answered.
    std::uint64_t m_follows = 0; ///< Newest epoch that it knows.
    std::uint64_t m_applied = 0; ///< Epoch whose shares it keeps to.
};

/// The members to propose next, or nothing when the present ones may stay.
std::optional<std::vector<fleet_member>>
propose_members(const fleet_epoch& epoch, std::span<const member_sight> sights,
                time_point now);

/// Where one daemon's wait for the former members stands.
struct settling
{
    std::uint64_t m_epoch = 0;
    std::optional<time_point> m_half_follows_at;
    bool m_settled = false; ///< The epoch's larger shares may be used.
};

/// Moves the wait on by what the daemon sees now.
void update_settling(settling& s, const fleet_epoch& epoch,
                     std::span<const member_sight> sights, time_point now);

const fleet_member* find_member(std::span<const fleet_member> members,
                                std::string_view name) noexcept;

}

#endif
