#include <decide/load/token_transfer.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebellspoke
{

bool uses_transfers(double burst, std::size_t cells) noexcept
{
    return cells > 1 &&
           burst < max_burst_part_for_transfers * static_cast<double>(cells);
}

std::vector<std::string_view> donor_cells(std::string_view own_zone,
                                          std::span<const cell_place> cells)
{
    const auto own = std::ranges::find(cells, own_zone, &cell_place::m_zone);
    if (own == cells.end())
        return {};
    std::vector<std::string_view> near;
    std::vector<std::string_view> far;
    // Each cell begins behind itself, so that not all of them ask the same one
    // first.
    const auto first = static_cast<std::size_t>(own - cells.begin());
    for (std::size_t i = 1; i < cells.size(); ++i)
    {
        const cell_place& cell = cells[(first + i) % cells.size()];
        (cell.m_region == own->m_region ? near : far).push_back(cell.m_zone);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

std::uint32_t spare_tokens(const rate_bucket& b, std::uint32_t wanted) noexcept
{
    // Half of them stay for the cell's own callers. The last one is given all
    // the same: the parts of a small burst are little more than one token, and
    // the cell can ask for one in turn.
    const double spare = std::min(std::floor(std::max(b.m_tokens, 0.0)),
                                  std::ceil(std::max(b.m_tokens, 0.0) / 2));
    return static_cast<std::uint32_t>(
        std::min(spare, static_cast<double>(wanted)));
}

std::uint32_t tokens_to_request(const token_transfers& x, std::size_t waiting,
                                time_point now) noexcept
{
    if (x.m_is_pending || now < x.m_next_round_at)
        return 0;
    return static_cast<std::uint32_t>(
        std::min(waiting + x.m_missing, max_transferred_tokens));
}

void begin_transfer(token_transfers& x) noexcept
{
    x.m_is_pending = true;
    x.m_missing = 0;
}

bool end_transfer(token_transfers& x, std::uint32_t tokens, std::size_t donors,
                  time_point now) noexcept
{
    x.m_is_pending = false;
    if (tokens > 0)
    {
        x.m_tokens = tokens + (now < x.m_tokens_until ? x.m_tokens : 0);
        x.m_tokens_until = now + transferred_token_lifetime;
        x.m_round_has_some = true;
        x.m_pause = {};
        return true;
    }
    if (++x.m_next_donor < donors)
        return true;
    x.m_next_donor = 0;
    if (std::exchange(x.m_round_has_some, false))
        return true;
    x.m_pause = std::clamp<duration>(2 * x.m_pause, min_transfer_pause,
                                     max_transfer_pause);
    x.m_next_round_at = now + x.m_pause;
    return false;
}

bool may_get_transfer(const token_transfers& x, time_point until,
                      time_point now) noexcept
{
    return (x.m_is_pending || now >= x.m_next_round_at) &&
           until - now >= transfer_time;
}

bool has_transferred_token(const token_transfers& x, time_point now) noexcept
{
    return x.m_tokens >= 1 && now < x.m_tokens_until;
}

bool take_transferred_token(token_transfers& x, time_point now) noexcept
{
    if (!has_transferred_token(x, now))
        return false;
    x.m_tokens -= 1;
    return true;
}

}
