#ifndef BLUEBELLSPOKE_DECIDE_LOAD_TOKEN_TRANSFER_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_TOKEN_TRANSFER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include <decide/rate_bucket.hpp>
#include <model/clock.hpp>

namespace bluebellspoke
{

/// Transfers are used for a workspace whose burst, divided by the number of
/// cells, is below this many operations. Above it, the random variation of
/// arrivals (their square root) is less than a quarter of a cell's part.
inline constexpr double max_burst_part_for_transfers = 16;
/// Time from a request to the use of the tokens: a round trip between regions
/// (40 ms) and a late tick of the session task (20 ms).
inline constexpr std::chrono::milliseconds transfer_time{60};
/// How long received tokens may be used. The operations that they are for wait
/// for a quarter of their latency objective: 500 ms at most in the described
/// deployments.
inline constexpr std::chrono::milliseconds transferred_token_lifetime{500};
/// Pause after all other cells had nothing to spare, doubled each time. The
/// first is short beside the 500 ms that an operation may wait.
inline constexpr std::chrono::milliseconds min_transfer_pause{100};
inline constexpr std::chrono::milliseconds max_transfer_pause{2000};
/// Most tokens that one request asks for a workspace.
inline constexpr std::size_t max_transferred_tokens = 8;

/// The transfers of one workspace's tokens to this cell.
struct token_transfers
{
    /// Operations of other processes of the cell that got no token since the
    /// last request.
    std::uint32_t m_missing = 0;
    bool m_is_pending = false;
    std::size_t m_next_donor = 0;  ///< Index in donor_cells().
    bool m_round_has_some = false; ///< A cell of this round gave some.
    duration m_pause{};
    time_point m_next_round_at{};
    double m_tokens = 0; ///< Received and not used yet.
    time_point m_tokens_until{};
};

/// A zone with a cell, and its region.
struct cell_place
{
    std::string_view m_zone;
    std::string_view m_region;
};

/// Returns true if cells transfer tokens of a workspace with this burst.
bool uses_transfers(double burst, std::size_t cells) noexcept;
/// Returns the other cells in the order in which they are asked: those of the
/// own region first. `cells` is sorted by zone.
std::vector<std::string_view> donor_cells(std::string_view own_zone,
                                          std::span<const cell_place> cells);
/// Returns how many of the bucket's tokens another cell gets that asks for
/// `wanted`. The bucket is refilled and no operation waits for it.
std::uint32_t spare_tokens(const rate_bucket& b, std::uint32_t wanted) noexcept;

/// Returns how many tokens to ask the next donor for; `waiting` operations wait
/// in this process.
std::uint32_t tokens_to_request(const token_transfers& x, std::size_t waiting,
                                time_point now) noexcept;
void begin_transfer(token_transfers& x) noexcept;
/// Records the answer of a donor; no answer is one without tokens. Returns
/// false if none of the `donors` had any in this round.
bool end_transfer(token_transfers& x, std::uint32_t tokens, std::size_t donors,
                  time_point now) noexcept;
/// Returns true if an operation that may wait until `until` may get a token of
/// another cell in time.
bool may_get_transfer(const token_transfers& x, time_point until,
                      time_point now) noexcept;
bool has_transferred_token(const token_transfers& x, time_point now) noexcept;
/// Takes one received token, if there is one.
bool take_transferred_token(token_transfers& x, time_point now) noexcept;

}

#endif
