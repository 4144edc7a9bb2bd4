#include <decide/member_relay.hpp>

#include <decide/cell_vote.hpp>

namespace bluebellspoke
{

void record_claim(member_relay& r, std::uint64_t claimed, std::uint64_t known,
                  time_point now) noexcept
{
    if (claimed != 0 && claimed <= known)
        r.m_current_at = now;
}

void record_change(member_relay& r, time_point now) noexcept
{
    r.m_current_at = now;
}

bool is_relaying_members(const member_relay& r, bool is_listed,
                         time_point now) noexcept
{
    return is_listed && now - r.m_current_at < cell_election_timeout;
}

bool may_count_votes(const member_list_state& s) noexcept
{
    return !s.m_is_relayed && !(s.m_is_reading && s.m_has_store);
}

}
